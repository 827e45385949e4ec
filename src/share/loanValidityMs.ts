import { shareLimits } from './shareLimits.js'

/**
 * Time in ms for which a borrower may use a loan, counted from just before it sent the request. It ends before the loan
 * expires at the lender, whatever the delay of the messages and within the assumed clock drift.
 */
export const loanValidityMs = shareLimits.loanMs * (1 - shareLimits.clockDrift) - shareLimits.loanMarginMs
