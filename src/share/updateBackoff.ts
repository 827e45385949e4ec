import { isEmptyAmount } from './isEmptyAmount.js'
import type { LoanAmount } from './LoanAmount.js'
import { shareLimits } from './shareLimits.js'
import type { ShareRow } from './ShareRow.js'

/** What a lender was asked for and gave. */
interface LenderResponse {
  readonly lender: string
  readonly requested: LoanAmount
  readonly granted: LoanAmount
}

const resources = ['rate', 'burst', 'short', 'long', 'upload'] as const
/** Share of a request below which an answer falls short of it. */
const shortfallFraction = 0.9

/** Waits longer each time a lender gives nothing, so that an exhausted cap costs few messages. */
export function updateBackoff (row: ShareRow, { lender, requested: ask, granted: amount }: LenderResponse, nowMs: number): void {
  const fallsShort = resources.some((part) => amount[part] < ask[part] * shortfallFraction)
  if (!fallsShort) {
    if (!isEmptyAmount(ask)) row.pauses.delete(lender)
    return
  }
  const last = row.pauses.get(lender)?.durationMs ?? 0
  const doubled = Math.min(shareLimits.unreachableBackoffMs, last * 2)
  const lengthMs = isEmptyAmount(amount) ? Math.max(shareLimits.shortfallBackoffMs, doubled) : shareLimits.shortfallBackoffMs
  row.pauses.set(lender, { untilMs: nowMs + lengthMs, durationMs: lengthMs, isUnreachable: false })
}
