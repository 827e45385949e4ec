/** Limits and intervals for the links between hosts. */
export const peerLimits = {
  /** Time in ms between heartbeats to a host of the same region and of another region. */
  sameRegionHeartbeatMs: 250,
  crossRegionHeartbeatMs: 500,
  /** Number of hosts up to which heartbeats are sent at the full rate, and the largest factor applied to the interval above it. */
  fullRateHosts: 12,
  maxSlowdown: 3,
  /** Time in ms to wait for the reply to a heartbeat; the connection is reopened after a timeout. */
  heartbeatTimeoutMs: 1_000,
  /** Time in ms without a request after which an accepted connection is closed, since the peer uses a new one by then. */
  idleTimeoutMs: 30_000,
  /** Time in ms without a heartbeat after which a host is considered down. */
  deadAfterMs: 2_000,
  /** Time in ms without a heartbeat for which a host that hasn't announced its leaving may still send requests, as it may only be cut off. */
  recentMs: 30_000,
  /** Age in ms of a table version from which it is also sent to readers that lack it. */
  readerPushDelayMs: 250,
  /** Weight of a measured round trip that is longer than the smoothed one. */
  roundTripWeight: 0.1,
  /** Time in ms between checks for heartbeats that are due. */
  tickMs: 50
} as const
