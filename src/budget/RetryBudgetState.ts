/** Use of the retry budget of one service at this host. */
export interface RetryBudgetState {
  readonly service: string
  /** Requests of the last window. */
  readonly requests: number
  /** Retries of the last window. */
  readonly retries: number
  /** Retries that the host may make in a window, given its requests. */
  readonly allowed: number
  /** Retries that were not made since the process started, because the budget was used up. */
  readonly denied: number
}
