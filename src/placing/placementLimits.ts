/** Figures of placing. */
export const placementLimits = {
  /** Load per slot from which an endpoint gets no further request, whatever its work takes. */
  maxLoadPerSlot: 2.5,
  /** Endpoints of a region, and of all regions, that share an object before others are asked. */
  affinityEndpoints: 2,
  /** Additional work, relative to the usual, that an endpoint probably has with an object that is new to it. */
  newObjectFactor: 2,
  /** Growth of that work with each place in the order of the object, so that few endpoints become familiar with it. */
  rankFactor: 0.2,
  /** Load per slot up to which a request may wait in any case. */
  shortQueueLoadPerSlot: 1.34,
  /** Time in ms for which an endpoint counts as familiar with an object that it handled. */
  recentObjectMs: 15_000,
  /** Objects remembered for one endpoint. */
  maxRecentObjects: 128,
  /** Busy share of a service's slots up to which requests go beyond the sharers of their object. */
  maxSpreadUtilization: 0.6,
  /** Least share of the objective that a request may wait for a slot; more when its work leaves room. */
  minWaitShare: 0.3,
  /** Work time relative to the median from which an endpoint counts as slow. */
  slowFactor: 2,
  /** Endpoints that are still tried when none is healthy. */
  fallbackEndpoints: 3,
  /** Share of its slots that a region fills with its own requests before others take them. */
  localUtilization: 0.6,
  /** Busy share of the slots that is assumed after a restart of all hosts. */
  restartUtilization: 0.4,
  /** Least and greatest factor over the mean load per slot that a region keeps for itself. */
  minHeadroomFactor: 1.1,
  maxHeadroomFactor: 4,
  /** Largest part of a region's requests that may change its region in a second. */
  maxShareChangePerSecond: 0.025
} as const
