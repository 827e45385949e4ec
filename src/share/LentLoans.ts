import { combineAmounts } from './combineAmounts.js'
import { createAmount } from './createAmount.js'
import type { LoanStatementRow } from './LoanStatementRow.js'
import { isEmptyAmount } from './isEmptyAmount.js'
import type { LoanAmount } from './LoanAmount.js'
import { shareLimits } from './shareLimits.js'

/** A part of a loan with its own end; the first part of a loan is the one that renewals extend. */
interface LoanSegment {
  amount: LoanAmount
  /** End of the loan; short permits stay lent `shortRequestMs` longer. */
  expiresAtMs: number
  /** Long permits stay lent `maxRequestMs` after this time. */
  renewedAtMs: number
}

/** One loan as its lender records it. */
interface LentLoan {
  readonly borrower: string
  readonly incarnation: number
  readonly seq: number
  segments: LoanSegment[]
}

/** A borrower's statement about one customer. */
interface Statement {
  readonly borrower: string
  readonly incarnation: number
  /** Requests up to this sequence number are answered or given up; their loans exist only when `held` names them. */
  readonly settledSeq: number
  readonly held: readonly LoanStatementRow[]
}

/**
 * The lender's record of what one host has lent of one customer's portion. An amount counts as lent until the
 * borrower can no longer be using it, whatever messages are lost, delayed or repeated.
 */
export class LentLoans {
  private readonly loans = new Map<string, LentLoan>()
  private sum = createAmount()

  /** Everything that counts as lent at the time of the last call that passed a time. */
  get total (): LoanAmount {
    return this.sum
  }

  get size (): number {
    return this.loans.size
  }

  /** Takes back what has run out. */
  advance (nowMs: number): void {
    if (this.loans.size === 0) return
    for (const [key, loan] of this.loans) {
      for (const part of loan.segments) expireSegment(part, nowMs)
      loan.segments = loan.segments.filter(({ amount }) => !isEmptyAmount(amount))
      if (loan.segments.length === 0) this.loans.delete(key)
    }
    this.updateSum()
  }

  /** Lends `amount`; the caller has checked that it is there to lend. */
  grant (borrower: string, incarnation: number, seq: number, amount: LoanAmount, nowMs: number): void {
    const part = { amount: { ...amount }, expiresAtMs: nowMs + shareLimits.loanMs, renewedAtMs: nowMs }
    this.loans.set(createKey(borrower, seq), { borrower, incarnation, seq, segments: [part] })
    this.updateSum()
  }

  /** Returns what the loan `seq` of `borrower` still carries, or undefined when there is no such loan. */
  getAmount (borrower: string, seq: number): LoanAmount | undefined {
    const loan = this.loans.get(createKey(borrower, seq))
    return loan === undefined ? undefined : sumSegments(loan)
  }

  /** Reduces the loans of a borrower to what it says that it holds; amounts only ever go down. */
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
   * Extends a loan with at most `target`. What is not renewed stays lent until its former end, since the
   * borrower may never see the answer.
   */
  renew (borrower: string, seq: number, target: LoanAmount, nowMs: number): LoanAmount {
    const loan = this.loans.get(createKey(borrower, seq))
    const first = loan?.segments[0]
    if (loan === undefined || first === undefined) return createAmount()
    const renewed = combineAmounts(first.amount, target, Math.min)
    const rest = combineAmounts(first.amount, renewed, (a, b) => a - b)
    if (!isEmptyAmount(rest)) loan.segments.push({ ...first, amount: rest })
    loan.segments[0] = { amount: renewed, expiresAtMs: nowMs + shareLimits.loanMs, renewedAtMs: nowMs }
    return { ...renewed }
  }

  /** Takes back everything from earlier incarnations of a borrower. */
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

  /** Names of the hosts that hold loans. */
  listBorrowers (): Set<string> {
    return new Set([...this.loans.values()].map(({ borrower }) => borrower))
  }

  /** Permits in one region that go with the lent permits. */
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

function expireSegment (part: LoanSegment, nowMs: number): void {
  const { amount } = part
  if (nowMs >= part.expiresAtMs) amount.rate = amount.burst = amount.upload = 0
  if (nowMs >= part.expiresAtMs + shareLimits.shortRequestMs) amount.short = 0
  if (nowMs >= part.renewedAtMs + shareLimits.maxRequestMs) amount.long = 0
}

/** Takes the excess over `row` from the parts that end first, so that the renewable part stays longest. */
function reduceLoan (loan: LentLoan, row: LoanAmount): void {
  let excess = combineAmounts(sumSegments(loan), row, (a, b) => Math.max(0, a - b))
  for (const part of [...loan.segments].reverse()) {
    const taken = combineAmounts(part.amount, excess, Math.min)
    part.amount = combineAmounts(part.amount, taken, (a, b) => a - b)
    excess = combineAmounts(excess, taken, (a, b) => a - b)
  }
}
