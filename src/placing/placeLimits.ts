/** Figures of placing. */
export const placeLimits = {
  /** Load per slot from which an endpoint gets no further request. */
  maxLoadPerSlot: 2.5,
  /** Endpoints that share an object before others are asked, and the load per slot up to which they are preferred. */
  sharers: 2,
  sharerLoadPerSlot: 1.34,
  /** Service time relative to the median from which an endpoint counts as slow. */
  slowFactor: 2,
  /** Endpoints that are still tried when none is healthy. */
  lastResort: 3,
  /** Share of its slots that a region fills with its own requests before others take them. */
  localUse: 0.6,
  /** Least and greatest factor over the mean load per slot that a region keeps for itself. */
  minHeadroom: 1.1,
  maxHeadroom: 4,
  /** Largest part of a region's requests that may change its region in a second. */
  sharePerSecond: 0.025
} as const
