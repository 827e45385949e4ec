import { createAmount } from './createAmount.js'
import type { CustomerShare } from './CustomerShare.js'
import type { LoanAmount } from './LoanAmount.js'
import type { LoanStatementRow } from './LoanStatementRow.js'

const splitResources = ['rate', 'short', 'upload'] as const
/** Loans are not redistributed while the unmet demand of the other borrowers is at most this fraction of the portion. */
const minUnmetFraction = 0.05

/**
 * Decides how much of a host's portion of one customer's cap is lent to a borrower. The host's own demand takes precedence;
 * the borrowers share the remainder by their demands.
 */
export class LendingPlan {
  private readonly ownDemand: LoanAmount
  private readonly lentToBorrower: LoanAmount
  private readonly otherBorrowers: { demand: LoanAmount, unmet: LoanAmount }

  constructor (
    private readonly share: CustomerShare,
    borrower: string,
    /** The borrower's demand for loans from all lenders together. */
    private readonly demand: LoanAmount,
    private readonly nowMs: number
  ) {
    this.ownDemand = share.computeDemand(nowMs)
    this.lentToBorrower = share.lent.sumByBorrower(borrower)
    this.otherBorrowers = share.sumBorrowerDemands(nowMs, borrower)
  }

  /** Returns the amount to lend now, at most `requested`. */
  limitGrant (requested: LoanAmount): LoanAmount {
    const lendable = this.share.computeLendable(this.nowMs)
    const long = Math.floor(Math.min(requested.long, lendable.long))
    const short = Math.floor(Math.min(requested.short, Math.max(0, lendable.short - long), this.computeRemainingFairShare('short')))
    const rate = Math.min(requested.rate, lendable.rate, this.computeRemainingFairShare('rate'))
    return {
      rate: Math.floor(rate * 1_000) / 1_000,
      burst: Math.floor(Math.min(requested.burst, lendable.burst)),
      short,
      long,
      upload: Math.floor(Math.min(requested.upload, lendable.upload, this.computeRemainingFairShare('upload')))
    }
  }

  /** Returns the amount up to which each of the borrower's loans may be renewed. */
  limitRenewals (held: readonly LoanStatementRow[]): LoanAmount[] {
    const scale = createAmount()
    for (const resource of splitResources) scale[resource] = this.computeRenewalScale(resource)
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

  private computeRenewalScale (resource: typeof splitResources[number]): number {
    const lent = this.share.lent.total[resource]
    const lentToBorrower = this.lentToBorrower[resource]
    if (lentToBorrower <= 0) return 1
    const pool = this.computePool(resource)
    const proportional = lent > pool ? pool * lentToBorrower / lent : lentToBorrower
    return Math.min(1, Math.min(proportional, this.computeFairShare(resource, pool)) / lentToBorrower)
  }

  /** Computes the amount that may be lent to all borrowers together: the portion less the host's own demand. */
  private computePool (resource: typeof splitResources[number]): number {
    return Math.max(0, this.computeOwnAmount(resource) - this.ownDemand[resource])
  }

  private computeOwnAmount (resource: typeof splitResources[number]): number {
    if (resource === 'short') return Math.max(0, this.share.usable.permits - this.share.lent.total.long)
    return this.share.usable[resource]
  }

  /** Computes the borrower's share of the pool, by demand; unlimited while the others have little unmet demand. */
  private computeFairShare (resource: typeof splitResources[number], pool: number): number {
    if (this.otherBorrowers.unmet[resource] <= this.computeOwnAmount(resource) * minUnmetFraction) return Infinity
    const demand = this.demand[resource]
    return demand <= 0 ? 0 : pool * demand / (demand + this.otherBorrowers.demand[resource])
  }

  private computeRemainingFairShare (resource: typeof splitResources[number]): number {
    return Math.max(0, this.computeFairShare(resource, this.computePool(resource)) - this.lentToBorrower[resource])
  }
}
