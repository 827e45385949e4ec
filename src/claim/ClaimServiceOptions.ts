import type { Clock } from '../common/Clock.js'
import type { PeerMessenger } from '../common/PeerMessenger.js'

/** What the handling of idempotency keys needs from its process. */
export interface ClaimServiceOptions {
  /** Name of the own host. */
  readonly host: string
  /** Incarnation of the own process. */
  readonly incarnation: number
  readonly clock: Clock
  readonly messenger: PeerMessenger
}
