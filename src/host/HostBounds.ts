/** Bounds of the deployment that the policies keep. */
export interface HostBounds {
  /** Time in ms from SIGTERM to the end of the process. */
  readonly graceMs: number
  readonly retryRatio: number
  readonly retryWindowMs: number
  readonly retrySlack: number
  /** Longest validity in ms of a directory answer. */
  readonly maxTtlMs: number
}
