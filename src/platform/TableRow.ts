/** A row of the platform's table service. */
export interface TableRow {
  /** Increased by the platform on each write of the row; at least 1. */
  readonly version: number
  readonly value: unknown
}
