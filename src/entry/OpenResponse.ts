import type { AttemptResult } from '../steer/AttemptResult.js'
import type { UpstreamResponse } from './UpstreamResponse.js'

/** A response whose target stays reserved until `finish` is called, which must happen exactly once. */
export interface OpenResponse {
  readonly response: UpstreamResponse
  /** Reserves bytes of the streamed body and returns the ms to wait before they may be sent. */
  readonly reserveBytes: (bytes: number) => number
  /** Closes the connection of a response that is not read completely. */
  readonly abort: () => void
  readonly finish: (result: AttemptResult) => void
}
