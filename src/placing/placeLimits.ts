/** Figures of placing. */
export const placeLimits = {
  /** Load per slot from which an endpoint gets no further request. */
  maxLoadPerSlot: 2,
  /** Service time relative to the median from which an endpoint counts as slow. */
  slowFactor: 2,
  /** Endpoints that are still tried when none is healthy. */
  lastResort: 3
} as const
