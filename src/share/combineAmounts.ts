import type { LoanAmount } from './LoanAmount.js'

/** Combines two amounts field by field. */
export function combineAmounts (a: LoanAmount, b: LoanAmount, combine: (a: number, b: number) => number): LoanAmount {
  return {
    rate: combine(a.rate, b.rate),
    burst: combine(a.burst, b.burst),
    short: combine(a.short, b.short),
    long: combine(a.long, b.long),
    upload: combine(a.upload, b.upload)
  }
}
