import type { Failure } from './Failure.js'
import { Outcome } from './Outcome.js'
import { resultCodes } from './resultCodes.js'
import type { ResultName } from './ResultName.js'

/** Optional fields of a failure. */
interface FailureOptions {
  /** Default: `notRun`. */
  readonly outcome?: Outcome
  /** Default: the text of the result code. */
  readonly message?: string
  readonly retryAfterMs?: number
}

/** Creates a failure. By default its outcome is `not-run` and its message is the text of the result code. */
export function createFailure (name: ResultName, options: FailureOptions = {}): Failure {
  const { outcome = Outcome.notRun, message = resultCodes[name].text, retryAfterMs } = options
  const failure = { name, outcome, message }
  return retryAfterMs === undefined ? failure : { ...failure, retryAfterMs }
}
