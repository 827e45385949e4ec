import type { ComputePortions } from './ComputePortions.js'
import type { HeadLogEntry } from './HeadLogEntry.js'
import type { HostReachability } from './HostReachability.js'

/** Facts that decide, besides the document, whether a change is accepted. */
export interface ChangeContext {
  /** Operator who requested the change. */
  readonly by: string
  /** Wall time in ms since the Unix epoch. */
  readonly wallMs: number
  /** All hosts in the agent's member table, whether or not they are in the configuration. */
  readonly reachability: readonly HostReachability[]
  /** Endpoints that are leaving according to the platform's list or the hosts' digests. */
  readonly leavingEndpoints: ReadonlySet<string>
  readonly log: readonly HeadLogEntry[]
  readonly computePortions: ComputePortions
}
