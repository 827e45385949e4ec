import type { Result } from 'neverthrow'
import type { Failure } from '../common/Failure.js'
import type { SteerRequest } from './SteerRequest.js'
import type { SteerTarget } from './SteerTarget.js'

/** A request that waits for room. */
export interface WaitingRequest {
  readonly request: SteerRequest
  /** True for a request that another host forwarded. */
  readonly ownedOnly: boolean
  /** Monotonic time in ms when the wait ends. */
  readonly untilMs: number
  /** Ends the wait. */
  readonly settle: (result: Result<SteerTarget, Failure>) => void
}
