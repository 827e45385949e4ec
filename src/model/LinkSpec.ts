/** Capacity between two regions, the same each way, shared by all traffic. */
export interface LinkSpec {
  readonly regions: readonly [string, string]
  readonly bytesPerSecond: number
  /** Relative weight of orders when both orders and bulk wait. */
  readonly orderWeight: number
  /** Relative weight of bulk when both orders and bulk wait. */
  readonly bulkWeight: number
  /** Fraction of the link that bulk gets whatever else waits. */
  readonly bulkMinimum: number
}
