import { placementLimits } from './placementLimits.js'

/** Share of one service. */
interface LocalShareRow {
  share: number
  updatedAtMs: number
}

/**
 * Shares of this region's requests that stay in the region, by service. A share moves slowly, so that no step of demand,
 * capacity or configuration takes a large part of the requests to other regions and to endpoints that are not warm.
 */
export class LocalShares {
  private readonly rows = new Map<string, LocalShareRow>()

  /** Moves the share of a service towards `target`; a service that is new here begins at `initial`. */
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
