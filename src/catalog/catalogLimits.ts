/** Figures of following the store. */
export const catalogLimits = {
  /** Time in ms for which the store is asked to hold a question for changes. */
  followWaitMs: 10_000,
  /** Changes of a table that are remembered for hosts that lack them. */
  maxHistory: 500,
  /** Hosts of a region that ask the store; the others learn from them. */
  readersPerRegion: 2,
  /** Time in ms after which what the readers last heard of the store is too old, so that every host asks by itself. */
  readerTimeoutMs: 13_000,
  /** Time in ms between checks whether a host is to ask the store. */
  readerCheckMs: 100,
  /**
   * Time in ms in which further changes of a table are gathered before the next question. A change of endpoints must be
   * known well within the time to drain; hosts also learn of each other by heartbeats.
   */
  batchMs: { orders: 100, endpoints: 250, hosts: 1_000 },
  /** Shortest and longest time in ms between tries of a store that fails. */
  minBackoffMs: 150,
  maxBackoffMs: 1_000
} as const
