/** A row of the platform's table service. */
export interface TableRow {
  /** Raised by the platform with each write of the row; at least 1. */
  readonly version: number
  readonly value: unknown
}
