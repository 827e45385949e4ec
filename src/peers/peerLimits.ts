/** Figures of the links between hosts. */
export const peerLimits = {
  /** Time in ms between heartbeats to hosts of the own region and of others. */
  sameRegionHeartbeatMs: 250,
  crossRegionHeartbeatMs: 500,
  /** Hosts up to which heartbeats have their full rate, and the largest factor by which they are rarer with more. */
  fullRateHosts: 12,
  maxSlowdown: 3,
  /** Time in ms for the answer to a heartbeat; a connection that misses it is opened anew. */
  heartbeatTimeoutMs: 1_000,
  /** Time in ms without a heartbeat after which a host counts as down. */
  deadAfterMs: 2_000,
  /** Age in ms of a version from which hosts that don't have it are sent the table. */
  readerPushDelayMs: 250,
  /** Time in ms between checks for due heartbeats. */
  tickMs: 50
} as const
