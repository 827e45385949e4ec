import { combineAmounts } from './combineAmounts.js'
import { createAmount } from './createAmount.js'
import type { BorrowedLoan } from './BorrowedLoan.js'
import type { LoanStatementRow } from './LoanStatementRow.js'
import { isEmptyAmount } from './isEmptyAmount.js'
import type { LoanAmount } from './LoanAmount.js'
import { loanValidityMs } from './loanValidityMs.js'
import { shareLimits } from './shareLimits.js'

/** The borrower's record of what one host has borrowed for one customer. */
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

  /** Applies a lender's answer to a renewal; a loan only ever shrinks. */
  renew (lender: string, seq: number, amount: LoanAmount, sentAtMs: number): void {
    const loan = this.loans.get(createKey(lender, seq))
    if (loan === undefined) return
    loan.amount = combineAmounts(loan.amount, amount, Math.min)
    if (isEmptyAmount(amount) || sentAtMs <= loan.sentAtMs) return
    loan.sentAtMs = sentAtMs
    loan.validUntilMs = sentAtMs + loanValidityMs
  }

  /** Earliest end of a valid loan at or before `nowMs`. */
  findNextExpiry (nowMs: number): number | undefined {
    let next: number | undefined
    for (const { validUntilMs, amount } of this.loans.values()) {
      const counts = amount.rate > 0 || amount.burst > 0 || amount.upload > 0
      if (counts && validUntilMs <= nowMs && (next === undefined || validUntilMs < next)) next = validUntilMs
    }
    return next
  }

  /** Gives up the free part of every loan whose validity has ended by `nowMs`. */
  expire (nowMs: number): void {
    for (const [key, loan] of this.loans) {
      if (loan.validUntilMs <= nowMs) loan.amount = createAmount({ short: loan.usedShort, long: loan.usedLong })
      if (isEmptyAmount(loan.amount) && loan.usedShort === 0 && loan.usedLong === 0) this.loans.delete(key)
    }
  }

  /** Gives up the free part of what one host lent; permits in use stay until their requests end. */
  releaseUnused (lender: string): void {
    for (const loan of this.listByLender(lender)) {
      loan.amount = createAmount({ short: loan.usedShort, long: loan.usedLong })
      loan.validUntilMs = Math.min(loan.validUntilMs, loan.sentAtMs)
    }
  }

  /** Sums the loans that may be used at `nowMs`. */
  sumValid (nowMs: number): LoanAmount {
    let sum = createAmount()
    for (const loan of this.loans.values()) {
      if (loan.validUntilMs > nowMs) sum = combineAmounts(sum, loan.amount, (a, b) => a + b)
    }
    return sum
  }

  /** Sums what is held from one lender, whether valid or only in use. */
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

  /** Permits that count as held: valid ones, and those in use on loans that have ended. */
  countPermits (nowMs: number): number {
    let count = 0
    for (const loan of this.loans.values()) count += countLoanPermits(loan, nowMs)
    return count
  }

  /** Permits in one region that go with the borrowed permits. */
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

  /** States what is held from a lender; permits in use are stated even when the loan was reduced below them. */
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

/** Latest deadline that a request on a long permit may have. */
function computeMaxLongDeadline (loan: BorrowedLoan): number {
  return loan.sentAtMs + shareLimits.maxRequestMs * (1 - shareLimits.clockDrift) - shareLimits.loanMarginMs
}

function countLoanPermits (loan: BorrowedLoan, nowMs: number): number {
  const used = loan.usedShort + loan.usedLong
  return loan.validUntilMs > nowMs ? Math.max(used, loan.amount.short + loan.amount.long) : used
}
