/** Broken promises as counts; all 0 when every promise held. */
export interface BrokenPromises {
  /** Requests over a cap: sum of the worst excess of each customer. */
  readonly capExcess: number
  /** Requests that reached a region whose slots of the service were all taken. */
  readonly regionOverload: number
  /** Requests whose connection broke at a host that was not killed. */
  readonly cutRequests: number
  /** Keys and requests of work that is not idempotent that ran more than once. */
  readonly duplicateRuns: number
  /** Requests that ran although their caller was told that they did not. */
  readonly falseNotRun: number
  readonly mixedAnswers: number
  /** New work at an endpoint later than 3 s after the first sign that it leaves. */
  readonly lateNewWork: number
}
