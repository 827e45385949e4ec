import type { Outcome } from './Outcome.js'
import type { ResultName } from './ResultName.js'

/** An expected failure, carried in a neverthrow `Result`. */
export interface Failure {
  readonly name: ResultName
  /** Whether the request may have been executed. */
  readonly outcome: Outcome
  /** Detail for people; never contains a credential. */
  readonly message: string
  /** Time in ms after which a retry may help. */
  readonly retryAfterMs?: number
}
