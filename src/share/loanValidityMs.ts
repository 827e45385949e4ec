import { shareLimits } from './shareLimits.js'

/** Time for which a loan may be used, counted by the borrower from the moment before its request was sent. */
export const loanValidityMs = shareLimits.loanMs * (1 - shareLimits.clockDrift) - shareLimits.loanMarginMs
