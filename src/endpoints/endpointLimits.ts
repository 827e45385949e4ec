/** Figures of the endpoint policy. */
export const endpointLimits = {
  /** Failed attempts in a row after which an endpoint must pass a health check. */
  suspectFailures: 3,
  /** Time in ms between health checks of a suspect endpoint. */
  probeIntervalMs: 500,
  /** Time in ms for one health check. */
  probeTimeoutMs: 1_000,
  /** Weight of one attempt in the moving shares and means. */
  smoothingFactor: 0.1,
  /** Share of failed attempts from which an endpoint is ejected. */
  ejectFailureShare: 0.3,
  /** Time in ms of an ejection. */
  ejectionMs: 2_000,
  /** Largest share of a service's endpoints that may be ejected at once. */
  maxEjectedShare: 0.4,
  /** Age in ms up to which a host reports broken attempts to the others. */
  reportBreaksMs: 2_000,
  /** Hosts that must report an endpoint, and their broken attempts in a row together, before it is ejected. */
  minReportingHosts: 2,
  minReportedBreaks: 3,
  /** Age in ms of a success of its own up to which a host doesn't heed the reports of others. */
  ownSuccessValidMs: 1_000,
  /** Time in ms without kept connections for non-idempotent requests after a broken answer. */
  dedicatedConnectionMs: 10_000,
  /** Time in ms for which an endpoint counts as full after it shed a request. */
  shedBackoffMs: 150,
  /** Age in ms up to which an endpoint's own load report is used. */
  loadReportValidMs: 300,
  /** Entries, and share of all, that must vanish together to be taken as lapsed. */
  minLapsedEntries: 3,
  minLapsedShare: 0.2,
  /** Time in ms after the return of the store in which lapsed entries may come back. */
  lapseGraceMs: 2_000
} as const
