import type { LoanAmount } from './LoanAmount.js'

/** One loan in a borrower's statement of what it holds. */
export interface LoanStatementRow extends LoanAmount {
  /** Sequence number of the request that the loan answered; identifies it between lender and borrower. */
  readonly seq: number
}
