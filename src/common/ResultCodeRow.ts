/** One row of the result code table. */
export interface ResultCodeRow {
  /** Stable number; never reused for another meaning. */
  readonly code: number
  /** HTTP status of a response with this code. */
  readonly status: number
  /** What the code means, as one sentence. */
  readonly text: string
}
