/** Limits and intervals for following the store. */
export const catalogLimits = {
  /** Longest time in ms for which a long poll asks the store to wait for changes. */
  maxFollowWaitMs: 10_000,
  /**
   * Time in ms between the ends of any two long polls of a table, whichever hosts of a region make them. Missed changes of configuration
   * and endpoints must arrive within seconds after connections fell silent; hosts also discover each other by heartbeats.
   */
  pollSpacingMs: { orders: 1_500, endpoints: 1_500, hosts: 10_000 },
  /** Changes kept per table to bring peers with an older version up to date, and removals kept for the case of a restore. */
  maxHistory: 500,
  /** Hosts per region that read the store; the others receive the tables from them. */
  readersPerRegion: 2,
  /** Time in ms since a reader's last successful store call up to which its report of an outage counts. */
  reportValidMs: 13_000,
  /**
   * Longest time in ms without a call to the store by any host, as far as this host knows, after which the local copy of a table
   * counts as stale and the host calls the store itself, on a new connection. Hosts must have all changes 4 s after connections
   * fell silent, and that call takes part of it; `computeStaleAfterMs` takes the bounds of the deployment into account.
   */
  staleAfterMs: { orders: 3_000, endpoints: 3_000, hosts: 13_000 },
  /** Time in ms between checks whether a host has become a reader. */
  readerCheckMs: 100,
  /**
   * Time in ms for which further changes of a table are batched before the next call. Endpoint changes must arrive well
   * within the drain time. Changes of hosts may wait longer because hosts also discover each other by heartbeats.
   */
  batchMs: { orders: 100, endpoints: 250, hosts: 1_000 },
  /**
   * Time in ms after a restore of the store from an older copy for which rows that it has lost hold, unless they are written again.
   * Endpoints write theirs within about two seconds, operators at a time of their own.
   */
  restoreGraceMs: { orders: 5_000, endpoints: 3_000, hosts: 10_000 },
  /** Shortest and longest backoff in ms between failed calls to the store. */
  minBackoffMs: 150,
  maxBackoffMs: 1_000
} as const
