import type { LoanAmount } from './LoanAmount.js'

/** True when no field is above 0. */
export function isEmptyAmount (amount: LoanAmount): boolean {
  return amount.rate <= 0 && amount.burst <= 0 && amount.short <= 0 && amount.long <= 0 && amount.upload <= 0
}
