import type { LoanAmount } from './LoanAmount.js'

/** The borrower's record of one loan. */
export interface BorrowedLoan {
  readonly lender: string
  /** Sequence number of the request that this loan answered. */
  readonly seq: number
  amount: LoanAmount
  /** Time at which the request was sent that the lender answered with the grant or the last renewal. */
  sentAtMs: number
  /** Time after which new requests must not use the loan; checked for each request. */
  validUntilMs: number
  /** Requests in flight on short permits of this loan. */
  usedShort: number
  /** Requests in flight on long permits of this loan. */
  usedLong: number
}
