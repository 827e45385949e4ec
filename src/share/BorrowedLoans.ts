import type { BorrowedLoan } from './BorrowedLoan.js'
import { combineAmounts } from './combineAmounts.js'
import { createAmount } from './createAmount.js'
import { isEmptyAmount } from './isEmptyAmount.js'
import type { LoanAmount } from './LoanAmount.js'
import type { LoanStatementRow } from './LoanStatementRow.js'
import { loanValidityMs } from './loanValidityMs.js'
import { shareLimits } from './shareLimits.js'

/** Records the loans of one customer's cap that this host has borrowed. */
export class BorrowedLoans {
  private readonly loans = new Map<string, BorrowedLoan>()

  get size (): number {
    return this.loans.size
  }

  add (lender: string, seq: number, amount: LoanAmount, sentAtMs: number): void {
    if (isEmptyAmount(amount)) return
    const validUntilMs = sentAtMs + loanValidityMs
    this.loans.set(createKey(lender, seq), { lender, seq, amount: { ...amount }, sentAtMs, validUntilMs, usedShort: 0, usedLong: 0 })
  }

  /** Applies a lender's answer to a renewal. The amounts of a loan never grow. */
  renew (lender: string, seq: number, amount: LoanAmount, sentAtMs: number): void {
    const loan = this.loans.get(createKey(lender, seq))
    if (loan === undefined) return
    loan.amount = combineAmounts(loan.amount, amount, Math.min)
    if (isEmptyAmount(amount) || sentAtMs <= loan.sentAtMs) return
    loan.sentAtMs = sentAtMs
    loan.validUntilMs = sentAtMs + loanValidityMs
  }

  /** Returns the earliest expiry, at or before `nowMs`, of a loan that still carries rate, burst or upload bandwidth. */
  findNextExpiry (nowMs: number): number | undefined {
    let nextMs: number | undefined
    for (const { validUntilMs, amount } of this.loans.values()) {
      const hasRate = amount.rate > 0 || amount.burst > 0 || amount.upload > 0
      if (hasRate && validUntilMs <= nowMs && (nextMs === undefined || validUntilMs < nextMs)) nextMs = validUntilMs
    }
    return nextMs
  }

  /** Removes the unused part of every loan that has expired by `nowMs`; permits in use stay until their requests end. */
  expire (nowMs: number): void {
    for (const [key, loan] of this.loans) {
      if (loan.validUntilMs <= nowMs) loan.amount = createAmount({ short: loan.usedShort, long: loan.usedLong })
      if (isEmptyAmount(loan.amount) && loan.usedShort === 0 && loan.usedLong === 0) this.loans.delete(key)
    }
  }

  /** Ends the loans of one lender early and removes their unused part; permits in use stay until their requests end. */
  releaseUnused (lender: string): void {
    for (const loan of this.listByLender(lender)) {
      loan.amount = createAmount({ short: loan.usedShort, long: loan.usedLong })
      loan.validUntilMs = Math.min(loan.validUntilMs, loan.sentAtMs)
    }
  }

  /** Sums the loans that have not expired at `nowMs`. */
  sumValid (nowMs: number): LoanAmount {
    let sum = createAmount()
    for (const loan of this.loans.values()) {
      if (loan.validUntilMs > nowMs) sum = combineAmounts(sum, loan.amount, (a, b) => a + b)
    }
    return sum
  }

  /** Sums the loans from one lender, including expired ones whose permits are still in use. */
  sumByLender (lender: string): LoanAmount {
    return this.listByLender(lender).reduce((sum, loan) => combineAmounts(sum, loan.amount, (a, b) => a + b), createAmount())
  }

  /** Finds a loan with a free permit for a request that must end by `deadlineAtMs`. */
  findPermit (nowMs: number, deadlineAtMs: number): { loan: BorrowedLoan, kind: 'short' | 'long' } | undefined {
    for (const loan of this.loans.values()) {
      if (loan.validUntilMs <= nowMs) continue
      if (loan.usedShort < loan.amount.short && deadlineAtMs - nowMs <= shareLimits.shortRequestMs) return { loan, kind: 'short' }
      if (loan.usedLong < loan.amount.long && deadlineAtMs <= computeMaxLongDeadline(loan)) return { loan, kind: 'long' }
    }
    return undefined
  }

  /** Counts the permits of valid loans, and the permits in use on expired loans. */
  countPermits (nowMs: number): number {
    let count = 0
    for (const loan of this.loans.values()) count += countLoanPermits(loan, nowMs)
    return count
  }

  /** Counts the permits in one region that are borrowed along with the permits. */
  countRegionPermits (nowMs: number, regionShare: number): number {
    let count = 0
    for (const loan of this.loans.values()) count += Math.floor(countLoanPermits(loan, nowMs) * regionShare)
    return count
  }

  listByLender (lender: string): BorrowedLoan[] {
    return [...this.loans.values()].filter((loan) => loan.lender === lender)
  }

  listAll (): BorrowedLoan[] {
    return [...this.loans.values()]
  }

  listLenders (): Set<string> {
    return new Set([...this.loans.values()].map(({ lender }) => lender))
  }

  /** Lists the loans from a lender for a statement. Permits in use are listed even when the loan was reduced below them. */
  createStatementRows (lender: string): LoanStatementRow[] {
    return this.listByLender(lender).map((loan) => ({
      seq: loan.seq,
      ...loan.amount,
      short: Math.max(loan.amount.short, loan.usedShort),
      long: Math.max(loan.amount.long, loan.usedLong)
    }))
  }
}

function createKey (lender: string, seq: number): string {
  return `${seq}/${lender}`
}

/** Computes the latest deadline that a request on a long permit may have. */
function computeMaxLongDeadline (loan: BorrowedLoan): number {
  return loan.sentAtMs + shareLimits.maxRequestMs * (1 - shareLimits.clockDrift) - shareLimits.loanMarginMs
}

function countLoanPermits (loan: BorrowedLoan, nowMs: number): number {
  const used = loan.usedShort + loan.usedLong
  return loan.validUntilMs > nowMs ? Math.max(used, loan.amount.short + loan.amount.long) : used
}
