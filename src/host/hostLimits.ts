/** Limits of the host process that are not settings. */
export const hostLimits = {
  /** Bodies and answers up to this many bytes are held completely, so that an attempt can be repeated. */
  maxHeldBytes: 524_288,
  /** Largest head of a request in bytes; the configuration may ask for less. */
  maxHeaderBytes: 65_536,
  /** Largest body in bytes before a configuration is known. */
  maxBodyBytes: 67_108_864,
  /** Open connections of callers. */
  maxConnections: 3_000,
  /** Idle connections kept to one endpoint. */
  maxIdlePerEndpoint: 12,
  /** Time in ms to connect to an endpoint. */
  connectTimeoutMs: 500,
  /** Time in ms that a caller waits when it doesn't say. */
  defaultDeadlineMs: 30_000,
  /** Idle time in ms of a caller's connection before a configuration is known. */
  defaultIdleTimeoutMs: 15_000,
  /** Time in ms from a planned stop to the end of the listener; until then callers may still be told of the host. */
  listenerCloseDelayMs: 1_000,
  /** Time in ms before the end of the grace time at which the process ends in any case. */
  stopMarginMs: 300,
  /** Time in ms for which a look-up answer may be used. */
  lookupTtlMs: 2_000,
  /** Time in ms between looks at health, lapsed entries and loads. */
  tickMs: 100,
  /** Time in ms between looks at whether the settings file has been written. */
  settingsCheckMs: 1_000,
  /** Log lines a second about single requests; the rest is counted. */
  requestLogLinesPerSecond: 20,
  /** Retry-After as a share of the route's objective: least and most, spread evenly. */
  minRetryAfterShare: 0.25,
  maxRetryAfterShare: 0.75,
  /** Retry-After in ms while no configuration is known. */
  notReadyRetryMs: 300
} as const
