import type { Heartbeat } from './Heartbeat.js'
import type { TablePositions } from './TablePositions.js'

/** What a peer's reply tells about its tables. */
export interface TableReport extends TablePositions {
  readonly tableAges: Heartbeat['tableAges']
  /** Time in ms of the request; the peer's state is at most as old. */
  readonly sentAtMs: number
}
