import { placementLimits } from './placementLimits.js'

/** Local share of one service. */
interface LocalShareRow {
  share: number
  updatedAtMs: number
}

/**
 * Holds, for each service, the share of this region's requests that stay in the region. A share changes at a limited rate,
 * so that a step in demand, capacity or configuration doesn't move a large fraction of the requests at once to other
 * regions, whose endpoints haven't handled their objects recently.
 */
export class LocalShares {
  private readonly rows = new Map<string, LocalShareRow>()

  /** Moves the share of a service toward `target` at the limited rate; a service without a share starts at `initial`. */
  moveToward (service: string, target: number, initial: number, nowMs: number): void {
    const row = this.rows.get(service)
    if (row === undefined) {
      this.rows.set(service, { share: initial, updatedAtMs: nowMs })
      return
    }
    const step = placementLimits.maxShareChangePerSecond * (nowMs - row.updatedAtMs) / 1_000
    row.share += Math.max(-step, Math.min(step, target - row.share))
    row.updatedAtMs = nowMs
  }

  get (service: string): number {
    return this.rows.get(service)?.share ?? 0
  }

  list (): Array<readonly [service: string, share: number]> {
    return [...this.rows].map(([service, { share }]) => [service, share] as const)
  }
}
