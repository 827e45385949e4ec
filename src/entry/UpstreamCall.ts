import type { Result } from 'neverthrow'
import type { AttemptFailure } from './AttemptFailure.js'
import type { UpstreamResponse } from './UpstreamResponse.js'

/** A request in flight. */
export interface UpstreamCall {
  readonly response: Promise<Result<UpstreamResponse, AttemptFailure>>
  /** Closes the connection. If no response was received, the call fails with `timeout` or `cancelled`. */
  cancel (reason: 'timeout' | 'cancelled'): void
}
