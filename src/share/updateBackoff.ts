import { isEmptyAmount } from './isEmptyAmount.js'
import type { LoanAmount } from './LoanAmount.js'
import { shareLimits } from './shareLimits.js'
import type { ShareRow } from './ShareRow.js'

/** The requested and the granted amount of one loan request. */
interface LenderResponse {
  readonly lender: string
  readonly requested: LoanAmount
  readonly granted: LoanAmount
}

const resources = ['rate', 'burst', 'short', 'long', 'upload'] as const
/** A grant below this fraction of the requested amount counts as a shortfall. */
const shortfallFraction = 0.9

/**
 * Sets the backoff before the next request to a lender. The backoff doubles each time the lender grants nothing, so that
 * an exhausted cap causes few messages.
 */
export function updateBackoff (row: ShareRow, { lender, requested, granted }: LenderResponse, nowMs: number): void {
  const fallsShort = resources.some((resource) => granted[resource] < requested[resource] * shortfallFraction)
  if (!fallsShort) {
    if (!isEmptyAmount(requested)) row.backoffs.delete(lender)
    return
  }
  const lastMs = row.backoffs.get(lender)?.durationMs ?? 0
  const doubledMs = Math.min(shareLimits.unreachableBackoffMs, lastMs * 2)
  const durationMs = isEmptyAmount(granted) ? Math.max(shareLimits.shortfallBackoffMs, doubledMs) : shareLimits.shortfallBackoffMs
  row.backoffs.set(lender, { untilMs: nowMs + durationMs, durationMs, isUnreachable: false })
}
