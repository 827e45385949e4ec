/** Limits of the host process that are not settings. */
export const hostLimits = {
  /** Size in bytes up to which request and response bodies are buffered completely, so that an attempt can be retried. */
  maxHeldBytes: 524_288,
  /** Largest request head in bytes; the configuration may set a lower limit. */
  maxHeaderBytes: 65_536,
  /** Largest request body in bytes until a configuration has been received. */
  maxBodyBytes: 67_108_864,
  /** Maximum number of open caller connections. */
  maxConnections: 3_000,
  /** Maximum number of idle connections kept open to one endpoint. */
  maxIdlePerEndpoint: 12,
  /** Timeout in ms for connecting to an endpoint. */
  connectTimeoutMs: 500,
  /** Deadline in ms of a request that carries none. */
  defaultDeadlineMs: 30_000,
  /** Idle timeout in ms of a caller's connection until a configuration has been received. */
  defaultIdleTimeoutMs: 15_000,
  /** Time in ms from the start of a planned stop until the listener closes; lookups may still return the host until then. */
  listenerCloseDelayMs: 1_000,
  /** Time in ms before the end of the grace time at which the process stops waiting for requests in flight. */
  stopMarginMs: 300,
  /** TTL in ms of a lookup response. */
  lookupTtlMs: 2_000,
  /** Time in ms between checks of health, lapsed entries and loads. */
  tickMs: 100,
  /** Shortest time in ms between two registrations because the store has lost the earlier one; calls to it are billed. */
  registrationPauseMs: 5_000,
  /** Time in ms between checks whether the settings file has been written. */
  settingsCheckMs: 1_000,
  /** Maximum number of log lines a second about single requests; further lines are only counted. */
  requestLogLinesPerSecond: 20,
  /** Smallest and largest Retry-After as a share of the route's objective; values are spread uniformly between them. */
  minRetryAfterShare: 0.25,
  maxRetryAfterShare: 0.75,
  /** Retry-After in ms until a configuration has been received. */
  notReadyRetryMs: 300,
  /** Retry-After in ms of a refusal by a host that is leaving; the other hosts can serve the request at once. */
  leavingRetryMs: 0
} as const
