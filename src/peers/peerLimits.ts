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
  /** Shortest time in ms without a heartbeat after which a host is considered down. */
  deadAfterMs: 2_000,
  /** Time in ms without a heartbeat for which a host that hasn't announced its leaving may still send requests, as it may only be cut off. */
  recentMs: 30_000,
  /** Time in ms for which a host waits for a change from the store, if it or only its region's readers read it, before it fetches the change from another host or region. */
  storeFirstMs: 250,
  /** Size in bytes of the parts in which a page is sent. Heartbeats wait for one part at most; it takes 0.05 s on a link of 10 Mbit/s. */
  pagePartBytes: 65_536,
  /** Time in ms to wait for a part of a page. */
  fetchTimeoutMs: 2_000,
  /** Time in ms after which a second host is asked beside one that has not served a table yet, and the number of fetches of a table at a time. */
  hedgeAfterMs: 500,
  maxFetches: 2,
  /** Shortest and longest backoff in ms between failed fetches of a table. */
  minFetchBackoffMs: 50,
  maxFetchBackoffMs: 1_000,
  /** Share of a host's link that pages may take, and the time in ms for which an unused share is kept. */
  pageLinkShare: 0.5,
  pageBurstMs: 1_000,
  /** Largest size in bytes of a page, with and without compression. */
  maxPageBytes: 67_108_864,
  /** Number of encoded pages kept per table. */
  maxCachedPages: 8,
  /** Weight of a measured round trip that is longer than the smoothed one. */
  roundTripWeight: 0.1,
  /** Time in ms between checks for heartbeats that are due. */
  tickMs: 50
} as const
