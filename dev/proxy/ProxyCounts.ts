import type { RefusedConnection } from './RefusedConnection.js'

/** What a proxy reports of its connections and of itself. */
export interface ProxyCounts {
  /** Bytes by bandwidth group. */
  readonly groups: Readonly<Record<string, number>>
  readonly connections: number
  readonly refused: readonly RefusedConnection[]
  /** Times from and until which the proxy's process stood still, in ms of wall time; no data passed meanwhile. */
  readonly stalls: ReadonlyArray<readonly [number, number]>
}
