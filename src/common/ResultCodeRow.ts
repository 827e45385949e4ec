/** One row of the result code table. */
export interface ResultCodeRow {
  /** Stable number; never reused for another meaning. */
  readonly code: number
  /** HTTP status that goes with the code. */
  readonly status: number
  /** What the code means, as one sentence. */
  readonly text: string
}
