import { combineAmounts } from './combineAmounts.js'
import { createAmount } from './createAmount.js'
import { isEmptyAmount } from './isEmptyAmount.js'
import type { LoanAmount } from './LoanAmount.js'
import { returnSurplus } from './returnSurplus.js'
import { shareLimits } from './shareLimits.js'
import type { ShareRow } from './ShareRow.js'

/** A loan request that is to be sent to one lender. */
interface PlannedLoanRequest {
  readonly lender: string
  readonly requested: LoanAmount
}

const resources = ['rate', 'burst', 'short', 'long', 'upload'] as const
/** While the queue is empty, a shortfall of rate below this fraction of the cap is not requested, which saves the message. */
const minRequestFraction = 0.02

/** Plans a host's loan requests for one customer, and returns borrowed amounts that exceed the demand. */
export class BorrowingPlan {
  constructor (
    private readonly row: ShareRow,
    /** Hosts that the last view reported as dead. */
    private readonly deadHosts: ReadonlySet<string>,
    private readonly nowMs: number
  ) {}

  /** Returns the requests to send now: renewals that are due, and requests that cover the shortfall. */
  planRequests (): PlannedLoanRequest[] {
    const due = this.findDueLenders()
    if (due.size > 0) returnSurplus(this.row, this.nowMs, due)
    const shortfall = this.computeOpenShortfall()
    const requests: PlannedLoanRequest[] = []
    if (due.size === 0 && isEmptyAmount(shortfall)) return requests
    for (const [lender, portion] of this.row.lenders) {
      if (this.row.pending.has(lender)) continue
      const requested = this.canRequest(lender) ? this.allocateRequest(lender, portion, shortfall) : createAmount()
      if (due.has(lender) || !isEmptyAmount(requested)) requests.push({ lender, requested })
    }
    return requests
  }

  /** True when no lender can be sent a request for more now and no request is pending. */
  isExhausted (): boolean {
    if (this.row.pending.size > 0) return false
    for (const lender of this.row.lenders.keys()) if (this.canRequest(lender)) return false
    return true
  }

  private findDueLenders (): Set<string> {
    const due = new Set<string>()
    for (const loan of this.row.share.borrowed.listAll()) {
      const { lender } = loan
      if (this.row.pending.has(lender) || this.isUnreachable(lender)) continue
      const isDue = this.nowMs - loan.sentAtMs >= shareLimits.renewAfterMs || this.row.recalledBy.has(lender)
      if (isDue) due.add(lender)
    }
    for (const [lender, sinceMs] of this.row.unansweredSinceMs) {
      if (this.nowMs - sinceMs >= shareLimits.maxRequestMs) this.row.unansweredSinceMs.delete(lender)
      else if (!this.row.pending.has(lender) && !this.isUnreachable(lender) && !this.deadHosts.has(lender)) due.add(lender)
    }
    for (const lender of due) this.row.recalledBy.delete(lender)
    return due
  }

  private computeOpenShortfall (): LoanAmount {
    const { share } = this.row
    let shortfall = share.computeShortfall(this.nowMs)
    for (const { requested } of this.row.pending.values()) shortfall = combineAmounts(shortfall, requested, (a, b) => Math.max(0, a - b))
    if (share.queued === 0 && shortfall.rate < share.contract.rate * minRequestFraction) shortfall.rate = 0
    if (share.queued === 0 && shortfall.rate === 0) shortfall.burst = 0
    return shortfall
  }

  /** Moves as much of `shortfall` into a request as the lender's portion can still cover, and leaves the remainder in `shortfall`. */
  private allocateRequest (lender: string, portion: LoanAmount, shortfall: LoanAmount): LoanAmount {
    const free = combineAmounts(portion, this.row.share.borrowed.sumByLender(lender), (a, b) => Math.max(0, a - b))
    const requested = combineAmounts(shortfall, free, Math.min)
    requested.rate = Math.ceil(requested.rate * 1_000) / 1_000
    requested.upload = Math.ceil(requested.upload)
    for (const resource of resources) shortfall[resource] = Math.max(0, shortfall[resource] - requested[resource])
    return requested
  }

  private canRequest (lender: string): boolean {
    if (this.deadHosts.has(lender) || (this.row.backoffs.get(lender)?.untilMs ?? -Infinity) > this.nowMs) return false
    return this.row.share.borrowed.listByLender(lender).length < shareLimits.maxLoansPerLender
  }

  private isUnreachable (lender: string): boolean {
    const backoff = this.row.backoffs.get(lender)
    return backoff !== undefined && backoff.isUnreachable && backoff.untilMs > this.nowMs
  }
}
