import type { AttemptResult } from '../steer/AttemptResult.js'
import type { UpstreamAnswer } from './UpstreamAnswer.js'

/** An answer whose target is held until `finish` is called, which must happen exactly once. */
export interface OpenAnswer {
  readonly answer: UpstreamAnswer
  /** Reserves bytes of the rest and returns the ms to wait before they may be sent. */
  readonly reserveBytes: (bytes: number) => number
  /** Closes the connection of an answer that is not read to its end. */
  readonly abort: () => void
  readonly finish: (result: AttemptResult) => void
}
