import type { CustomerShare } from './CustomerShare.js'
import type { LoanAmount } from './LoanAmount.js'

/** A request that was sent to a lender and not answered yet. */
interface PendingLoanRequest {
  readonly seq: number
  readonly sentAtMs: number
  readonly requested: LoanAmount
}

/** Time in which a lender is not asked for new loans. */
interface LenderBackoff {
  readonly untilMs: number
  readonly durationMs: number
  /** True when the lender could not be reached; renewals then wait too. */
  readonly isUnreachable: boolean
}

/** One customer at this host, with the dealings with its lenders and borrowers. */
export interface ShareRow {
  readonly customer: string
  readonly share: CustomerShare
  /** What the other home hosts could lend at most, the nearest host first. */
  lenders: ReadonlyMap<string, LoanAmount>
  readonly pending: Map<string, PendingLoanRequest>
  /** Lenders that have not answered the last request, by the time of the first unanswered one; they may still count a loan. */
  readonly owed: Map<string, number>
  readonly pauses: Map<string, LenderBackoff>
  /** Lenders that asked for a renewal now. */
  readonly recalledBy: Set<string>
  /** Highest settled sequence number heard from each borrower's process. */
  readonly settledSeqs: Map<string, { readonly incarnation: number, readonly seq: number }>
  /** Time of the last tick that looked at the row. */
  lastCheckAtMs: number
  /** Time of the last recall that this host sent. */
  lastRecallAtMs: number
}
