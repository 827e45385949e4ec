/** Limits of health checks, outlier ejection and load reports. */
export const endpointLimits = {
  /** Consecutive failed attempts after which an endpoint becomes suspect and must pass a health check. */
  suspectFailures: 3,
  /** Time in ms between health checks of a suspect endpoint. */
  probeIntervalMs: 500,
  /** Timeout in ms of one health check. */
  probeTimeoutMs: 1_000,
  /** Size in bytes of a health check's response body above which the check fails. */
  maxProbeBodyBytes: 65_536,
  /** Weight of one attempt in the exponential moving averages. */
  smoothingFactor: 0.1,
  /** Share of failed attempts from which an endpoint is ejected. */
  ejectFailureShare: 0.3,
  /** Duration in ms of an ejection. */
  ejectionMs: 2_000,
  /** Largest share of a service's endpoints that may be ejected at once. */
  maxEjectedShare: 0.4,
  /** Age in ms up to which a host reports broken attempts to the other hosts. */
  reportBreaksMs: 2_000,
  /** Minimum number of reporting hosts, and of consecutive broken attempts in total, for an endpoint to be ejected. */
  minReportingHosts: 2,
  minReportedBreaks: 3,
  /** Time in ms for which a host reports that an endpoint named no limit any more. */
  reportWithdrawalMs: 10_000,
  /** Age in ms of this host's last success up to which reports of other hosts are ignored. */
  ownSuccessValidMs: 1_000,
  /** Time in ms after a failed attempt in which non-idempotent requests don't reuse connections. */
  dedicatedConnectionMs: 10_000,
  /** Time in ms for which an endpoint counts as full after shedding a request. */
  shedBackoffMs: 150,
  /** Longest time in ms for which an endpoint gets nothing because it asked for that; then it must pass a health check. */
  maxBackoffMs: 60_000,
  /**
   * Time in ms after a response that says that the endpoint is leaving for which that holds whatever a health check says. One that
   * stays for longer, listed as ready, is used again once a health check denies that it is leaving.
   */
  leavingHoldMs: 60_000,
  /** Time in ms between these health checks. */
  leavingCheckMs: 5_000,
  /** Number of removed endpoints whose announcements are kept. */
  maxKeptAnnouncements: 10_000,
  /** Age in ms up to which an endpoint's load report is used. */
  loadReportValidMs: 300,
  /** Minimum number of entries, and share of all, that must disappear together to be treated as lapsed. */
  minLapsedEntries: 3,
  minLapsedShare: 0.2,
  /** Time in ms from the recovery of the store for which endpoints with lapsed entries are kept. */
  lapseGraceMs: 2_000,
  /**
   * Part of the drain time in ms that is left for an update to reach all hosts and for requests to reach their endpoints.
   * Endpoints whose entries disappear together are kept for the rest of it, since all of them may really have left.
   */
  drainPropagationMs: 1_000
} as const
