import type { LoanAmount } from './LoanAmount.js'

/** One loan as its borrower records it. */
export interface BorrowedLoan {
  readonly lender: string
  /** Sequence number of the request that it answered. */
  readonly seq: number
  amount: LoanAmount
  /** Time at which the granting or last renewing request was sent. */
  sentAtMs: number
  /** End of use for new requests; checked at the moment of use. */
  validUntilMs: number
  /** Requests in flight on short permits of this loan. */
  usedShort: number
  /** Requests in flight on long permits of this loan. */
  usedLong: number
}
