import type { Clock } from '../common/Clock.js'
import type { PeerMessenger } from '../common/PeerMessenger.js'

/** Dependencies of the claim service. */
export interface ClaimServiceOptions {
  /** Name of this host. */
  readonly host: string
  /** Incarnation of this process. */
  readonly incarnation: number
  readonly clock: Clock
  readonly messenger: PeerMessenger
}
