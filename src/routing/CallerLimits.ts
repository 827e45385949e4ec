/** Limits on the size of callers' requests, on the time to receive their headers and on idle connections. */
export interface CallerLimits {
  readonly headerBytes: number
  readonly bodyBytes: number
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
}
