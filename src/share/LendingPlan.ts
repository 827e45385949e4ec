import { createAmount } from './createAmount.js'
import type { LoanStatementRow } from './LoanStatementRow.js'
import type { LoanAmount } from './LoanAmount.js'
import type { CustomerShare } from './CustomerShare.js'

const splitResources = ['rate', 'short', 'upload'] as const
/** Unmet demand of other borrowers below this fraction of the portion moves no loans. */
const minUnmetFraction = 0.05

/** Divides what a host can lend of one customer between its own demand and its borrowers, by their demands. */
export class LendingPlan {
  private readonly ownDemand: LoanAmount
  private readonly lentToBorrower: LoanAmount
  private readonly otherBorrowers: { need: LoanAmount, unmet: LoanAmount }

  constructor (
    private readonly share: CustomerShare,
    borrower: string,
    /** What the borrower wants from all lenders together. */
    private readonly need: LoanAmount,
    private readonly nowMs: number
  ) {
    this.ownDemand = share.computeDemand(nowMs)
    this.lentToBorrower = share.lent.sumByBorrower(borrower)
    this.otherBorrowers = share.sumBorrowerDemands(nowMs, borrower)
  }

  /** Returns what of `ask` is lent now. */
  limitGrant (ask: LoanAmount): LoanAmount {
    const lendable = this.share.computeLendable(this.nowMs)
    const long = Math.floor(Math.min(ask.long, lendable.long))
    const short = Math.floor(Math.min(ask.short, Math.max(0, lendable.short - long), this.computeRemainingFairShare('short')))
    const rate = Math.min(ask.rate, lendable.rate, this.computeRemainingFairShare('rate'))
    return {
      rate: Math.floor(rate * 1_000) / 1_000,
      burst: Math.floor(Math.min(ask.burst, lendable.burst)),
      short,
      long,
      upload: Math.floor(Math.min(ask.upload, lendable.upload, this.computeRemainingFairShare('upload')))
    }
  }

  /** Returns how much of each held loan may be renewed. */
  limitRenewals (held: readonly LoanStatementRow[]): LoanAmount[] {
    const scale = createAmount()
    for (const part of splitResources) scale[part] = this.computeRenewalScale(part)
    scale.burst = this.share.queued > 0 || this.share.lent.total.burst > this.share.usable.burst ? 0 : 1
    scale.long = this.computeOwnAmount('short') < this.share.lent.total.short ? 0 : 1
    return held.map((row) => ({
      rate: Math.floor(row.rate * scale.rate * 1_000) / 1_000,
      burst: row.burst * scale.burst,
      short: Math.floor(row.short * scale.short + 1e-9),
      long: row.long * scale.long,
      upload: Math.floor(row.upload * scale.upload)
    }))
  }

  private computeRenewalScale (part: typeof splitResources[number]): number {
    const lent = this.share.lent.total[part]
    const here = this.lentToBorrower[part]
    if (here <= 0) return 1
    const pool = this.computePool(part)
    const kept = lent > pool ? pool * here / lent : here
    return Math.min(1, Math.min(kept, this.computeFairShare(part, pool)) / here)
  }

  /** What may be lent to all borrowers together: the portion less the host's own demand. */
  private computePool (part: typeof splitResources[number]): number {
    return Math.max(0, this.computeOwnAmount(part) - this.ownDemand[part])
  }

  private computeOwnAmount (part: typeof splitResources[number]): number {
    if (part === 'short') return Math.max(0, this.share.usable.permits - this.share.lent.total.long)
    return this.share.usable[part]
  }

  /** The borrower's part of the pool while other borrowers miss something; unlimited otherwise. */
  private computeFairShare (part: typeof splitResources[number], pool: number): number {
    if (this.otherBorrowers.unmet[part] <= this.computeOwnAmount(part) * minUnmetFraction) return Infinity
    const need = this.need[part]
    return need <= 0 ? 0 : pool * need / (need + this.otherBorrowers.need[part])
  }

  private computeRemainingFairShare (part: typeof splitResources[number]): number {
    return Math.max(0, this.computeFairShare(part, this.computePool(part)) - this.lentToBorrower[part])
  }
}
