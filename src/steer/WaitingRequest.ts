import type { Result } from 'neverthrow'
import type { Failure } from '../common/Failure.js'
import type { SteerRequest } from './SteerRequest.js'
import type { SteerTarget } from './SteerTarget.js'

/** A queued request that waits for a slot. */
export interface WaitingRequest {
  readonly request: SteerRequest
  /** True for a request that another host forwarded. */
  readonly ownedOnly: boolean
  /** Monotonic time in ms at which the wait expires. */
  readonly expiresAtMs: number
  /** Ends the wait with its result. */
  readonly settle: (result: Result<SteerTarget, Failure>) => void
}
