/** Number of violations of each promise; all 0 when every promise held. */
export interface BrokenPromises {
  /** Requests above a cap: the sum of each customer's largest excess. */
  readonly capExcess: number
  /** Requests that reached a region in which all slots of the service were in use. */
  readonly regionOverload: number
  /** Requests whose connection broke at a host that was not killed. */
  readonly cutRequests: number
  /** Non-idempotent requests that ran more than once, counted by idempotency key or by request id, whichever count is larger. */
  readonly duplicateRuns: number
  /** Requests that ran although their caller was told that they did not. */
  readonly falseNotRun: number
  readonly mixedAnswers: number
  /** New requests at an endpoint more than 3 s after the first signal that it is leaving. */
  readonly lateNewWork: number
}
