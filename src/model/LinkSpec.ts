/** Network capacity between two regions, equal in both directions and shared by all traffic. */
export interface LinkSpec {
  readonly regions: readonly [string, string]
  readonly bytesPerSecond: number
  /** Relative weight of the class `order` while both `order` and `bulk` are backlogged. */
  readonly orderWeight: number
  /** Relative weight of the class `bulk` while both `order` and `bulk` are backlogged. */
  readonly bulkWeight: number
  /** Fraction of the link that is guaranteed to the class `bulk`. */
  readonly bulkMinimum: number
}
