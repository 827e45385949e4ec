/** Bounds of the deployment that the policies must observe. */
export interface HostBounds {
  /** Time in ms from SIGTERM until the process must have ended. */
  readonly graceMs: number
  /** Time in ms after an endpoint's leaving was acknowledged until which requests may still reach it. */
  readonly drainMs: number
  /** Time in ms after a change of the configuration was acknowledged from which requests must be handled by it. */
  readonly configApplyMs: number
  readonly retryRatio: number
  readonly retryWindowMs: number
  readonly retrySlack: number
  /** Longest TTL in ms of a directory response. */
  readonly maxTtlMs: number
}
