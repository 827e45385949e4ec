import type { Result } from 'neverthrow'
import type { AttemptFailure } from './AttemptFailure.js'
import type { UpstreamAnswer } from './UpstreamAnswer.js'

/** A request under way. */
export interface UpstreamCall {
  readonly reply: Promise<Result<UpstreamAnswer, AttemptFailure>>
  /** Closes the connection; a reply that has not come fails with `timeout` or `cancelled`. */
  cancel (reason: 'timeout' | 'cancelled'): void
}
