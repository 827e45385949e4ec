import type { CustomerUse } from './CustomerUse.js'
import type { ServiceLoad } from './ServiceLoad.js'

/** What an entry process tells all hosts about itself. */
export interface Digest {
  readonly host: string
  /** Incarnation of the entry process: its start in ms since the Unix epoch, raised when needed. */
  readonly entryIncarnation: number
  /** Grows by one with each digest of an incarnation. */
  readonly seq: number
  /** Version of the configuration that the entry process has in force. */
  readonly appliedVersion: number
  /** False when the entry process does not take requests. */
  readonly serving: boolean
  /** True once a planned stop or a host drain has begun. */
  readonly leaving: boolean
  /** Requests in flight at the host, its own and forwarded ones. */
  readonly inFlight: number
  readonly loads: readonly ServiceLoad[]
  /** Endpoints that said themselves that they are leaving. */
  readonly leavingEndpoints: readonly string[]
  /** Requests in flight at each draining or leaving endpoint that the host owns. */
  readonly drainInFlight: Readonly<Record<string, number>>
  /** Use of customers that had traffic lately; at most 64 rows, the busiest first. Agents spread it once per second; views leave it empty. */
  readonly uses: readonly CustomerUse[]
}
