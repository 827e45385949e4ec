import type { LoanAmount } from './LoanAmount.js'

/** One loan in a borrower's statement of the loans that it holds. */
export interface LoanStatementRow extends LoanAmount {
  /** Sequence number of the request that the loan answered; identifies the loan between lender and borrower. */
  readonly seq: number
}
