import type { AttemptResult } from '../steer/AttemptResult.js'
import type { UpstreamAnswer } from './UpstreamAnswer.js'

/** A response whose target stays reserved until `finish` is called, which must happen exactly once. */
export interface OpenAnswer {
  readonly answer: UpstreamAnswer
  /** Reserves bytes of the streamed body and returns the ms to wait before they may be sent. */
  readonly reserveBytes: (bytes: number) => number
  /** Closes the connection of a response that is not read completely. */
  readonly abort: () => void
  readonly finish: (result: AttemptResult) => void
}
