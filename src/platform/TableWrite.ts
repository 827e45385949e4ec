/** A write that takes effect only when the row still has the expected version. */
export interface TableWrite {
  /** Name of the row, such as `config/head`. */
  readonly row: string
  /** Expected version of the row; 0 means that the row must be absent. */
  readonly ifVersion: number
  readonly value: unknown
}
