import type { CustomerUsage } from './CustomerUsage.js'
import type { ServiceLoad } from './ServiceLoad.js'

/** State of an entry process that is propagated to all hosts. */
export interface Digest {
  readonly host: string
  /** Incarnation of the entry process: its start in ms since the Unix epoch, raised when needed to exceed that of an earlier process. */
  readonly entryIncarnation: number
  /** Grows by one with each digest of an incarnation. */
  readonly seq: number
  /** Version of the configuration that the entry process applies. */
  readonly appliedVersion: number
  /** False while the entry process does not accept requests. */
  readonly serving: boolean
  /** True once a planned stop or a host drain has begun. */
  readonly leaving: boolean
  /** Requests in flight at the host, including those forwarded to it by other hosts. */
  readonly inFlight: number
  readonly loads: readonly ServiceLoad[]
  /** Endpoints that have reported themselves as leaving. */
  readonly leavingEndpoints: readonly string[]
  /** Requests in flight at each draining or leaving endpoint that the host owns. */
  readonly drainInFlight: Readonly<Record<string, number>>
  /** Usage of customers with recent traffic; at most 64 rows, the busiest first. Agents publish it once per second; it is empty in views. */
  readonly uses: readonly CustomerUsage[]
}
