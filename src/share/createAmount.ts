import type { LoanAmount } from './LoanAmount.js'

/** Creates an amount in which fields that are not given are 0. */
export function createAmount (fields: Partial<LoanAmount> = {}): LoanAmount {
  return { rate: 0, burst: 0, short: 0, long: 0, upload: 0, ...fields }
}
