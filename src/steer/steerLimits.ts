/** Constants of endpoint ownership, slot accounting and routing. */
export const steerLimits = {
  /** Age in ms above which a view no longer proves that another host is dead or leaving. */
  viewMaxAgeMs: 2_000,
  /** Age in ms above which an adopter may no longer use a probe's free slots. */
  adopterProbeMaxAgeMs: 1_000,
  /** Age in ms above which a report no longer says anything about work of others at the endpoint. */
  reportMaxAgeMs: 3_000,
  /** Time in ms over which a cold endpoint goes from one slot to all. */
  rampMs: 10_000,
  /** Time in ms between probes of an endpoint; a probe costs the endpoint 6 ms. */
  probeIntervalMs: 1_000,
  /** Time in ms between probes of an adopted or blocked endpoint. */
  fastProbeIntervalMs: 500,
  /** Failed attempts in a row after which an endpoint gets no work until a probe succeeds. */
  maxFailures: 2,
  /** Time in ms in which a shedding endpoint regains one slot. */
  shedRecoveryMs: 1_000,
  /** Weight of the newest sample in the mean service time. */
  serviceTimeWeight: 0.1,
  /** Requests that may wait for a slot of a service, per slot that the host owns. */
  queuePerSlot: 4,
  /** Smallest queue of a service on a host. */
  minQueue: 32,
  /** Longest wait in ms for a slot of a request that another host forwarded. */
  forwardedWaitMs: 250,
  /** Time in ms for which an owner that shed or refused a forward is avoided. */
  ownerPauseMs: 300,
  /** One bulk request is taken first after this many requests of other classes. */
  bulkTurn: 10,
  /** Unsent work on a link in ms above which a region is not chosen. */
  maxLinkDelayMs: 200
} as const
