import { combineAmounts } from './combineAmounts.js'
import { createAmount } from './createAmount.js'
import { returnSurplus } from './returnSurplus.js'
import { isEmptyAmount } from './isEmptyAmount.js'
import type { LoanAmount } from './LoanAmount.js'
import { shareLimits } from './shareLimits.js'
import type { ShareRow } from './ShareRow.js'

/** What one lender is asked for. */
interface PlannedLoanRequest {
  readonly lender: string
  readonly requested: LoanAmount
}

const resources = ['rate', 'burst', 'short', 'long', 'upload'] as const
/** A shortfall of rate below this fraction of the cap is not worth a message while nothing waits. */
const minRequestFraction = 0.02

/** Plans whom a host asks for loans of one customer, and gives back what is no longer needed. */
export class BorrowingPlan {
  constructor (
    private readonly row: ShareRow,
    /** Hosts that are known to be dead. */
    private readonly deadHosts: ReadonlySet<string>,
    private readonly nowMs: number
  ) {}

  /** Returns the requests to send now: renewals that are due and asks for what is missing. */
  planRequests (): PlannedLoanRequest[] {
    const due = this.findDueLenders()
    if (due.size > 0) returnSurplus(this.row, this.nowMs, due)
    const need = this.computeOpenShortfall()
    const asks: PlannedLoanRequest[] = []
    if (due.size === 0 && isEmptyAmount(need)) return asks
    for (const [lender, portion] of this.row.lenders) {
      if (this.row.pending.has(lender)) continue
      const ask = this.canRequest(lender) ? this.allocateRequest(lender, portion, need) : createAmount()
      if (due.has(lender) || !isEmptyAmount(ask)) asks.push({ lender, requested: ask })
    }
    return asks
  }

  /** True when no lender can be asked for more now and no answer is awaited. */
  isExhausted (): boolean {
    if (this.row.pending.size > 0) return false
    for (const lender of this.row.lenders.keys()) if (this.canRequest(lender)) return false
    return true
  }

  private findDueLenders (): Set<string> {
    const due = new Set<string>()
    for (const loan of this.row.share.held.listAll()) {
      const { lender } = loan
      if (this.row.pending.has(lender) || this.isUnreachable(lender)) continue
      const isDue = this.nowMs - loan.sentAtMs >= shareLimits.renewAfterMs || this.row.recalledBy.has(lender)
      if (isDue) due.add(lender)
    }
    for (const [lender, sinceMs] of this.row.owed) {
      if (this.nowMs - sinceMs >= shareLimits.maxRequestMs) this.row.owed.delete(lender)
      else if (!this.row.pending.has(lender) && !this.isUnreachable(lender) && !this.deadHosts.has(lender)) due.add(lender)
    }
    for (const lender of due) this.row.recalledBy.delete(lender)
    return due
  }

  private computeOpenShortfall (): LoanAmount {
    const { share } = this.row
    let need = share.computeShortfall(this.nowMs)
    for (const { requested: ask } of this.row.pending.values()) need = combineAmounts(need, ask, (a, b) => Math.max(0, a - b))
    if (share.queued === 0 && need.rate < share.contract.rate * minRequestFraction) need.rate = 0
    if (share.queued === 0 && need.rate === 0) need.burst = 0
    return need
  }

  /** Takes from `need` what the lender may have; the rest is left for the next lender. */
  private allocateRequest (lender: string, portion: LoanAmount, need: LoanAmount): LoanAmount {
    const free = combineAmounts(portion, this.row.share.held.sumByLender(lender), (a, b) => Math.max(0, a - b))
    const ask = combineAmounts(need, free, Math.min)
    ask.rate = Math.ceil(ask.rate * 1_000) / 1_000
    ask.upload = Math.ceil(ask.upload)
    for (const part of resources) need[part] = Math.max(0, need[part] - ask[part])
    return ask
  }

  private canRequest (lender: string): boolean {
    if (this.deadHosts.has(lender) || (this.row.pauses.get(lender)?.untilMs ?? -Infinity) > this.nowMs) return false
    return this.row.share.held.listByLender(lender).length < shareLimits.maxLoansPerLender
  }

  private isUnreachable (lender: string): boolean {
    const pause = this.row.pauses.get(lender)
    return pause !== undefined && pause.isUnreachable && pause.untilMs > this.nowMs
  }
}
