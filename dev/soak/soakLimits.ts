/** Limits and durations of the soak; the grace time and the retry limits are also in the hosts' settings. */
export const soakLimits = {
  /** Time bounds in ms of the promises that hosts keep. */
  drainMs: 2_500,
  configApplyMs: 2_500,
  evacuationMs: 5_000,
  recoveryMs: 15_000,
  /** Time in ms without a disturbance after which promises with a time bound apply to a host. */
  settleMs: 4_000,
  graceMs: 6_000,
  /** Time in ms until the registry entry of a crashed endpoint is removed, or until the address of a drained one is reused. */
  entryExpiryMs: 2_000,
  /** Tolerance in ms by which the deadline at an endpoint may exceed the caller's deadline. */
  deadlineSlackMs: 500,
  /** Limit of a service's retries in a window: `retryRatio` times its requests plus `retrySlack`. */
  retryRatio: 0.2,
  retrySlack: 64,
  retryWindowMs: 10_000,
  /** Share of requests that must be served after the recovery. */
  recoveredShare: 0.95,
  /** Duration in ms after the recovery in which that share is measured. */
  recoveryCheckMs: 4_000,
  /** Largest resident set of a host in MB. */
  maxHostMb: 350,
  /** Time in ms within which all hosts must become ready at startup. */
  startTimeoutMs: 20_000,
  pollMs: 25,
  /** Time in ms without a turn of the event loop of the soak's own process that counts as a fault; hosts wait 1 s for each other. */
  stallMs: 500,
  /** Number of stalls after the last fault from which a run has a finding, since it can't show the recovery. */
  maxLateStalls: 3
} as const
