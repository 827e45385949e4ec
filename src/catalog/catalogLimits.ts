/** Figures of following the store. */
export const catalogLimits = {
  /** Time in ms for which the store is asked to hold a question for changes. */
  followWaitMs: 10_000,
  /** Time in ms in which further changes are gathered before the next question. */
  gatherMs: 100,
  /** Shortest and longest time in ms between tries of a store that fails. */
  minBackoffMs: 150,
  maxBackoffMs: 1_000
} as const
