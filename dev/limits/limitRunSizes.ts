/** Sizes of the runs. */
export const limitRunSizes = {
  /** Number of hosts that a run may have, with those added. */
  maxHosts: 8,
  /** Largest number of hosts for which all short sequences of events are played. */
  maxSmallHosts: 3,
  /** Largest number of events of a walk. */
  maxEvents: 12
} as const
