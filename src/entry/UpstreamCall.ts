import type { Result } from 'neverthrow'
import type { AttemptFailure } from './AttemptFailure.js'
import type { UpstreamAnswer } from './UpstreamAnswer.js'

/** A request in flight. */
export interface UpstreamCall {
  readonly reply: Promise<Result<UpstreamAnswer, AttemptFailure>>
  /** Closes the connection. If no response was received, the call fails with `timeout` or `cancelled`. */
  cancel (reason: 'timeout' | 'cancelled'): void
}
