/** Load that an endpoint reports with a response. */
export interface LoadReport {
  readonly running: number
  readonly waiting: number
}
