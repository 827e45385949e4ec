/** What one host wants in a step. */
export interface LimitDemand {
  readonly requests: number
  readonly level: number
  /** Requests need no retries, and endpoints nothing. */
  readonly isQuiet: boolean
  readonly nowMs: number
}
