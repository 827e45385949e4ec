/** Weights of the routing score; their sum need not be 1. */
export interface Objective {
  /** Weight of the expected delay. */
  readonly latency: number
  /** Weight of room kept free against the loss of a host. */
  readonly headroom: number
}
