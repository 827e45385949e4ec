/** Figures of the soak; the bounds are those of the settings that its hosts get. */
export const soakLimits = {
  /** Times in ms of the promises that hosts keep. */
  drainMs: 2_500,
  configApplyMs: 2_500,
  evacuationMs: 5_000,
  recoveryMs: 15_000,
  /** Time in ms without a fault after which a host is held to promises with a time. */
  calmMs: 4_000,
  graceMs: 6_000,
  /** Time in ms by which a request may be handed more time than its caller gives. */
  deadlineSlackMs: 500,
  /** Bound on further arrivals of a service in a window: `retryRatio` of its requests and `retrySlack`. */
  retryRatio: 0.2,
  retrySlack: 64,
  retryWindowMs: 10_000,
  /** Share of requests that must be served in the calm at the end. */
  recoveredShare: 0.95,
  /** Time in ms of the calm at the end in which that share is counted. */
  calmEndMs: 4_000,
  /** Largest resident set of a host in MB. */
  maxHostMb: 350,
  /** Time in ms for all hosts to become ready at the start. */
  startMs: 20_000,
  pollMs: 25
} as const
