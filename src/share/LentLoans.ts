import { combineAmounts } from './combineAmounts.js'
import { createAmount } from './createAmount.js'
import { isEmptyAmount } from './isEmptyAmount.js'
import type { LoanAmount } from './LoanAmount.js'
import type { LoanStatementRow } from './LoanStatementRow.js'
import { shareLimits } from './shareLimits.js'

/** A part of a loan with its own expiry. Renewals extend the first segment of a loan. */
interface LoanSegment {
  amount: LoanAmount
  /** End of the loan; short permits stay lent `shortRequestMs` longer. */
  expiresAtMs: number
  /** Long permits stay lent `maxRequestMs` after this time. */
  renewedAtMs: number
}

/** The lender's record of one loan. */
interface LentLoan {
  readonly borrower: string
  readonly incarnation: number
  readonly seq: number
  segments: LoanSegment[]
}

/** A borrower's statement of the loans of one customer that it holds. */
interface Statement {
  readonly borrower: string
  readonly incarnation: number
  /** Requests up to this sequence number were answered or abandoned; their loans exist only when `held` lists them. */
  readonly settledSeq: number
  readonly held: readonly LoanStatementRow[]
}

/**
 * The lender's record of what one host has lent of one customer's portion. An amount counts as lent until the
 * borrower can no longer be using it, also when messages are lost, delayed or repeated.
 */
export class LentLoans {
  private readonly loans = new Map<string, LentLoan>()
  private sum = createAmount()

  /** Sum of all loans, as of the last change or call of `advance`. */
  get total (): LoanAmount {
    return this.sum
  }

  get size (): number {
    return this.loans.size
  }

  /** Removes amounts that have expired. */
  advance (nowMs: number): void {
    if (this.loans.size === 0) return
    for (const [key, loan] of this.loans) {
      for (const segment of loan.segments) expireSegment(segment, nowMs)
      loan.segments = loan.segments.filter(({ amount }) => !isEmptyAmount(amount))
      if (loan.segments.length === 0) this.loans.delete(key)
    }
    this.updateSum()
  }

  /** Records a loan of `amount`. The caller must have checked that this much can be lent. */
  grant (borrower: string, incarnation: number, seq: number, amount: LoanAmount, nowMs: number): void {
    const segment = { amount: { ...amount }, expiresAtMs: nowMs + shareLimits.loanMs, renewedAtMs: nowMs }
    this.loans.set(createKey(borrower, seq), { borrower, incarnation, seq, segments: [segment] })
    this.updateSum()
  }

  /** Returns the amount of the loan `seq` of `borrower` that has not expired, or undefined when there is no such loan. */
  getAmount (borrower: string, seq: number): LoanAmount | undefined {
    const loan = this.loans.get(createKey(borrower, seq))
    return loan === undefined ? undefined : sumSegments(loan)
  }

  /** Reduces the loans of a borrower to the amounts that it reports as held; amounts never grow. */
  applyStatement (statement: Statement): void {
    const held = new Map(statement.held.map((row) => [row.seq, row]))
    for (const [key, loan] of this.loans) {
      if (loan.borrower !== statement.borrower || loan.incarnation !== statement.incarnation) continue
      const row = held.get(loan.seq)
      if (row !== undefined) reduceLoan(loan, row)
      else if (loan.seq <= statement.settledSeq) this.loans.delete(key)
    }
    this.updateSum()
  }

  /**
   * Extends at most `target` of a loan and returns the renewed amount. The remainder stays lent until its former
   * expiry, since the answer may never reach the borrower.
   */
  renew (borrower: string, seq: number, target: LoanAmount, nowMs: number): LoanAmount {
    const loan = this.loans.get(createKey(borrower, seq))
    const first = loan?.segments[0]
    if (loan === undefined || first === undefined) return createAmount()
    const renewed = combineAmounts(first.amount, target, Math.min)
    const unrenewed = combineAmounts(first.amount, renewed, (a, b) => a - b)
    if (!isEmptyAmount(unrenewed)) loan.segments.push({ ...first, amount: unrenewed })
    loan.segments[0] = { amount: renewed, expiresAtMs: nowMs + shareLimits.loanMs, renewedAtMs: nowMs }
    return { ...renewed }
  }

  /** Removes the loans to earlier incarnations of a borrower. */
  dropOlderIncarnations (borrower: string, incarnation: number): void {
    for (const [key, loan] of this.loans) {
      if (loan.borrower === borrower && loan.incarnation < incarnation) this.loans.delete(key)
    }
    this.updateSum()
  }

  /** Sums one borrower's loans. */
  sumByBorrower (borrower: string): LoanAmount {
    let sum = createAmount()
    for (const loan of this.loans.values()) {
      if (loan.borrower === borrower) sum = combineAmounts(sum, sumSegments(loan), add)
    }
    return sum
  }

  /** Returns the names of the hosts that hold loans. */
  listBorrowers (): Set<string> {
    return new Set([...this.loans.values()].map(({ borrower }) => borrower))
  }

  /** Counts the permits in one region that are lent along with the permits. */
  sumRegionPermits (regionShare: number): number {
    let sum = 0
    for (const loan of this.loans.values()) {
      const { short, long } = sumSegments(loan)
      sum += Math.floor((short + long) * regionShare)
    }
    return sum
  }

  private updateSum (): void {
    let sum = createAmount()
    for (const loan of this.loans.values()) sum = combineAmounts(sum, sumSegments(loan), add)
    this.sum = sum
  }
}

function add (a: number, b: number): number {
  return a + b
}

function createKey (borrower: string, seq: number): string {
  return `${seq}/${borrower}`
}

function sumSegments (loan: LentLoan): LoanAmount {
  return loan.segments.reduce((sum, { amount }) => combineAmounts(sum, amount, add), createAmount())
}

function expireSegment (segment: LoanSegment, nowMs: number): void {
  const { amount } = segment
  if (nowMs >= segment.expiresAtMs) amount.rate = amount.burst = amount.upload = 0
  if (nowMs >= segment.expiresAtMs + shareLimits.shortRequestMs) amount.short = 0
  if (nowMs >= segment.renewedAtMs + shareLimits.maxRequestMs) amount.long = 0
}

/** Reduces a loan to `row`, starting with the segments that expire first, so that the renewable one is reduced last. */
function reduceLoan (loan: LentLoan, row: LoanAmount): void {
  let excess = combineAmounts(sumSegments(loan), row, (a, b) => Math.max(0, a - b))
  for (const segment of [...loan.segments].reverse()) {
    const taken = combineAmounts(segment.amount, excess, Math.min)
    segment.amount = combineAmounts(segment.amount, taken, (a, b) => a - b)
    excess = combineAmounts(excess, taken, (a, b) => a - b)
  }
}
