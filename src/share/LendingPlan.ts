import { createAmount } from './createAmount.js'
import type { HeldRow } from './HeldRow.js'
import type { LoanAmount } from './LoanAmount.js'
import type { CustomerShare } from './CustomerShare.js'

const splitParts = ['rate', 'short', 'upload'] as const
/** Unmet demand of other borrowers below this fraction of the portion moves no loans. */
const smallestUnmet = 0.05

/** Divides what a host can lend of one customer between its own demand and its borrowers, by their demands. */
export class LendingPlan {
  private readonly want: LoanAmount
  private readonly lentHere: LoanAmount
  private readonly others: { need: LoanAmount, unmet: LoanAmount }

  constructor (
    private readonly share: CustomerShare,
    borrower: string,
    /** What the borrower wants from all lenders together. */
    private readonly need: LoanAmount,
    private readonly nowMs: number
  ) {
    this.want = share.computeWant(nowMs)
    this.lentHere = share.lent.sumOf(borrower)
    this.others = share.sumAskers(nowMs, borrower)
  }

  /** Returns what of `ask` is lent now. */
  limitGrant (ask: LoanAmount): LoanAmount {
    const lendable = this.share.computeLendable(this.nowMs)
    const long = Math.floor(Math.min(ask.long, lendable.long))
    const short = Math.floor(Math.min(ask.short, Math.max(0, lendable.short - long), this.findFairRest('short')))
    const rate = Math.min(ask.rate, lendable.rate, this.findFairRest('rate'))
    return {
      rate: Math.floor(rate * 1_000) / 1_000,
      burst: Math.floor(Math.min(ask.burst, lendable.burst)),
      short,
      long,
      upload: Math.floor(Math.min(ask.upload, lendable.upload, this.findFairRest('upload')))
    }
  }

  /** Returns how much of each held loan may be renewed. */
  limitRenewals (held: readonly HeldRow[]): LoanAmount[] {
    const scale = createAmount()
    for (const part of splitParts) scale[part] = this.findScale(part)
    scale.burst = this.share.queued > 0 || this.share.lent.total.burst > this.share.usable.burst ? 0 : 1
    scale.long = this.findOwn('short') < this.share.lent.total.short ? 0 : 1
    return held.map((row) => ({
      rate: Math.floor(row.rate * scale.rate * 1_000) / 1_000,
      burst: row.burst * scale.burst,
      short: Math.floor(row.short * scale.short + 1e-9),
      long: row.long * scale.long,
      upload: Math.floor(row.upload * scale.upload)
    }))
  }

  private findScale (part: typeof splitParts[number]): number {
    const lent = this.share.lent.total[part]
    const here = this.lentHere[part]
    if (here <= 0) return 1
    const pool = this.findPool(part)
    const kept = lent > pool ? pool * here / lent : here
    return Math.min(1, Math.min(kept, this.findFairShare(part, pool)) / here)
  }

  /** What may be lent to all borrowers together: the portion less the host's own demand. */
  private findPool (part: typeof splitParts[number]): number {
    return Math.max(0, this.findOwn(part) - this.want[part])
  }

  private findOwn (part: typeof splitParts[number]): number {
    if (part === 'short') return Math.max(0, this.share.usable.permits - this.share.lent.total.long)
    return this.share.usable[part]
  }

  /** The borrower's part of the pool while other borrowers miss something; unlimited otherwise. */
  private findFairShare (part: typeof splitParts[number], pool: number): number {
    if (this.others.unmet[part] <= this.findOwn(part) * smallestUnmet) return Infinity
    const need = this.need[part]
    return need <= 0 ? 0 : pool * need / (need + this.others.need[part])
  }

  private findFairRest (part: typeof splitParts[number]): number {
    return Math.max(0, this.findFairShare(part, this.findPool(part)) - this.lentHere[part])
  }
}
