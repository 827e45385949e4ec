import type { ComputePortions } from './ComputePortions.js'
import type { HeadLogEntry } from './HeadLogEntry.js'
import type { HostReachability } from './HostReachability.js'

/** What a change is judged by besides the document. */
export interface ChangeContext {
  /** Operator who asks. */
  readonly by: string
  /** Wall time in ms since the Unix epoch. */
  readonly wallMs: number
  /** All hosts that the agent knows, whether or not the configuration names them. */
  readonly reachability: readonly HostReachability[]
  /** Endpoints that are leaving by the platform's list or their own word. */
  readonly leavingEndpoints: ReadonlySet<string>
  readonly log: readonly HeadLogEntry[]
  readonly computePortions: ComputePortions
}
