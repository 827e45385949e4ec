import { isEmptyAmount } from './isEmptyAmount.js'
import type { LoanAmount } from './LoanAmount.js'
import { shareLimits } from './shareLimits.js'
import type { ShareRow } from './ShareRow.js'

/** What a lender was asked for and gave. */
interface LenderAnswer {
  readonly lender: string
  readonly ask: LoanAmount
  readonly amount: LoanAmount
}

const parts = ['rate', 'burst', 'short', 'long', 'upload'] as const
/** Share of a request below which an answer falls short of it. */
const shortfallShare = 0.9

/** Waits longer each time a lender gives nothing, so that an exhausted cap costs few messages. */
export function updatePause (row: ShareRow, { lender, ask, amount }: LenderAnswer, nowMs: number): void {
  const fallsShort = parts.some((part) => amount[part] < ask[part] * shortfallShare)
  if (!fallsShort) {
    if (!isEmptyAmount(ask)) row.pauses.delete(lender)
    return
  }
  const last = row.pauses.get(lender)?.lengthMs ?? 0
  const doubled = Math.min(shareLimits.unreachablePauseMs, last * 2)
  const lengthMs = isEmptyAmount(amount) ? Math.max(shareLimits.shortfallPauseMs, doubled) : shareLimits.shortfallPauseMs
  row.pauses.set(lender, { untilMs: nowMs + lengthMs, lengthMs, lost: false })
}
