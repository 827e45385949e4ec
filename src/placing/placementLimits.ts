/** Limits and weights of endpoint selection and of the local shares. */
export const placementLimits = {
  /** Load per slot from which an endpoint receives no further request, whatever its service time. */
  maxLoadPerSlot: 2.5,
  /** Number of endpoints in the local region, and in all regions, that are tried for an object before the others. */
  affinityEndpoints: 2,
  /** Growth of the additional time for a new object with each rank in its ranking, so that few endpoints handle the object. */
  rankFactor: 0.2,
  /** Weight of one request in the mean service times by route. */
  serviceTimeWeight: 0.05,
  /** Number of routes whose service times are kept. */
  maxTimedRoutes: 10_000,
  /** Service time for a known object as a share of the objective, until it has been measured. */
  initialKnownShare: 0.4,
  /** Load per slot up to which a request may wait beyond the objective, as long as its deadline allows. */
  shortQueueLoadPerSlot: 1.34,
  /** Time in ms for which an object counts as recently handled by an endpoint. */
  recentObjectMs: 15_000,
  /** Recent objects that are recorded for each endpoint. */
  maxRecentObjects: 128,
  /** Utilization of a service below which a request that no affinity endpoint can take goes to another endpoint. */
  maxSpreadUtilization: 0.3,
  /** Minimum of the wait limit, as a share of the objective; the limit is higher when the service time leaves room. */
  minWaitShare: 0.3,
  /** Service time relative to the median above which an endpoint counts as slow. */
  slowFactor: 2,
  /** Number of endpoints that are still tried when none is healthy. */
  fallbackEndpoints: 3,
  /** Utilization up to which a region fills its slots with its own requests before it sends any to other regions. */
  localUtilization: 0.6,
  /** Utilization that is assumed after a restart of all hosts. */
  restartUtilization: 0.4,
  /** Minimum and maximum factor by which the load per slot that a region keeps exceeds the mean of all regions. */
  minHeadroomFactor: 1.1,
  maxHeadroomFactor: 4,
  /** Maximum change of a local share per second. */
  maxShareChangePerSecond: 0.025
} as const
