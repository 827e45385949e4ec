/** What a loan carries; every part is at least 0. */
export interface LoanAmount {
  /** Requests per second. */
  rate: number
  /** Room for tokens in the bucket; handed over together with as many tokens. Integer. */
  burst: number
  /** Permits for requests whose deadline is near. Integer. */
  short: number
  /** Permits for uploads. Integer. */
  long: number
  /** Body bytes per second. */
  upload: number
}
