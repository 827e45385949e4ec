import type { Failure } from '../common/Failure.js'
import type { AttemptResult } from '../steer/AttemptResult.js'

/** A failed attempt; `failure.outcome` is `notRun` only if this attempt certainly did not run the request. */
export interface AttemptFailure {
  readonly failure: Failure
  readonly result: AttemptResult
  /** Endpoint that failed, if an owning host reported one. */
  readonly endpoint?: string
  /** Stack of the exception that ended the attempt, if one did. */
  readonly exception?: string
}
