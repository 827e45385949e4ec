/** Amounts that a loan transfers; each is at least 0. */
export interface LoanAmount {
  /** Requests per second. */
  rate: number
  /** Capacity of the token bucket; transferred together with as many tokens. Integer. */
  burst: number
  /** Permits for requests whose deadline is at most `shortRequestMs` away. Integer. */
  short: number
  /** Permits for uploads. Integer. */
  long: number
  /** Body bytes per second. */
  upload: number
}
