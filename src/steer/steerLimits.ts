/** Constants of endpoint ownership, slot accounting and routing. */
export const steerLimits = {
  /** Age in ms above which a view no longer proves that another host is dead or leaving. */
  viewMaxAgeMs: 2_000,
  /** Age in ms of the last successful probe above which an adopter may not use an endpoint. */
  adopterProbeMaxAgeMs: 1_000,
  /** Age in ms above which a report is no longer used to estimate the slots used by other hosts. */
  reportMaxAgeMs: 3_000,
  /** Duration in ms of the slow-start ramp of a cold endpoint, from one slot to all. */
  rampMs: 10_000,
  /** Time in ms between probes of an endpoint. A probe costs the endpoint 6 ms. */
  probeIntervalMs: 1_000,
  /** Time in ms between probes of an endpoint that is adopted or ejected, or has not reported yet. */
  fastProbeIntervalMs: 500,
  /** Consecutive failures after which an endpoint is ejected until a probe succeeds. */
  maxFailures: 2,
  /** Time in ms after which an endpoint that shed a request regains one slot. */
  shedRecoveryMs: 1_000,
  /** Weight of the newest sample in the moving average of the service time. */
  serviceTimeWeight: 0.1,
  /** Requests that may wait for a slot of a service, per slot that the host owns. */
  queuePerSlot: 4,
  /** Smallest queue limit of a service on a host. */
  minQueue: 32,
  /** Longest time in ms that a request forwarded by another host waits for a slot. */
  forwardedWaitMs: 250,
  /** Time in ms for which an owner is avoided after a forward to it was shed or failed. */
  ownerPauseMs: 300,
  /** Requests of other classes after which a waiting bulk request is tried first. */
  requestsBetweenBulk: 10,
  /** Queueing delay in ms on a link above which its region is not chosen. */
  maxLinkDelayMs: 200
} as const
