import type { CustomerShare } from './CustomerShare.js'
import type { LoanAmount } from './LoanAmount.js'

/** A loan request that was sent and not answered yet. */
interface PendingLoanRequest {
  readonly seq: number
  readonly sentAtMs: number
  readonly requested: LoanAmount
}

/** A time during which a lender is not sent requests for new loans. */
interface LenderBackoff {
  readonly untilMs: number
  readonly durationMs: number
  /** True when the lender could not be reached; renewals are then held back as well. */
  readonly isUnreachable: boolean
}

/** The state of one customer at this host, with the state of the exchanges with its lenders and borrowers. */
export interface ShareRow {
  readonly customer: string
  readonly share: CustomerShare
  /** The largest amount that each of the other home hosts could lend, the nearest host first. */
  lenders: ReadonlyMap<string, LoanAmount>
  readonly pending: Map<string, PendingLoanRequest>
  /** Time of the first unanswered request to each lender that has not answered since; the lender may have recorded a loan. */
  readonly unansweredSinceMs: Map<string, number>
  readonly backoffs: Map<string, LenderBackoff>
  /** Lenders that recalled their loans; the next plan renews these loans. */
  readonly recalledBy: Set<string>
  /** Highest settled sequence number received from each borrower, with the incarnation that sent it. */
  readonly settledSeqs: Map<string, { readonly incarnation: number, readonly seq: number }>
  /** Time of the last tick that served the row. */
  lastCheckAtMs: number
  /** Time of the last recall that this host sent. */
  lastRecallAtMs: number
}
