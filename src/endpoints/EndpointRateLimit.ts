/** What a response said of its endpoint's rate limit. */
export interface EndpointRateLimit {
  /** Requests a second that the endpoint takes from all hosts together; undefined since a response named no limit. */
  readonly perSecond: number | undefined
  /** Time in monotonic ms of the response. */
  readonly heardAtMs: number
}
