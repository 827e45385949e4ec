/** Weights of the terms of the routing score; their sum need not be 1. */
export interface Objective {
  /** Weight of the expected delay. */
  readonly latency: number
  /** Weight of spare capacity reserved for the loss of a host. */
  readonly headroom: number
}
