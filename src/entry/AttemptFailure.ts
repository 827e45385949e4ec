import type { Failure } from '../common/Failure.js'
import type { AttemptResult } from '../steer/AttemptResult.js'

/** A failed attempt; `failure.outcome` is `notRun` only when that is certain for this attempt. */
export interface AttemptFailure {
  readonly failure: Failure
  readonly result: AttemptResult
  /** Endpoint that failed, when an owning host named it. */
  readonly endpoint?: string
}
