import type { LoanAmount } from './LoanAmount.js'

/** Creates an amount whose unnamed parts are 0. */
export function createAmount (parts: Partial<LoanAmount> = {}): LoanAmount {
  return { rate: 0, burst: 0, short: 0, long: 0, upload: 0, ...parts }
}
