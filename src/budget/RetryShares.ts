/** Parts of the bounds on retries that a host may use, between 0 and 1. */
export interface RetryShares {
  /** Share of the ratio of its own requests. */
  readonly ofRatio: number
  /** Share of the slack of the deployment. */
  readonly ofSlack: number
}
