/** One host's fixed part of a customer's cap. */
export interface Portion {
  /** Requests per second, in steps of 0.001. */
  readonly rate: number
  /** Capacity of the token bucket: requests that may be admitted at once; integer. */
  readonly burst: number
  /** Requests in flight; integer. */
  readonly permits: number
  /** Requests in flight in any one region; integer. */
  readonly regionPermits: number
  /** Body bytes per second; integer. */
  readonly upload: number
}
