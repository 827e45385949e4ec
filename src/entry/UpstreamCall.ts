import type { Result } from 'neverthrow'
import type { AttemptFailure } from './AttemptFailure.js'
import type { UpstreamResponse } from './UpstreamResponse.js'

/** A request in flight. */
export interface UpstreamCall {
  /** Connection of the request and its place there, as in `12/3`; empty before it has one. */
  readonly connection: string
  readonly response: Promise<Result<UpstreamResponse, AttemptFailure>>
  /** Closes the connection. If no response was received, the call fails with `timeout` or `cancelled`. */
  cancel (reason: 'timeout' | 'cancelled'): void
}
