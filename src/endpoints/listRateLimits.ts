import type { EndpointRow } from './EndpointRow.js'
import { endpointLimits } from './endpointLimits.js'

/** Stands for an endpoint that has named no limit since it named one. */
const noLimit = -1

/**
 * Lists the rate limits that this host has heard of itself and that no newer news from other hosts contradicts, with their age
 * in ms. News from other hosts isn't passed on, so that it doesn't get younger on the way.
 */
export function listRateLimits (rows: Iterable<EndpointRow>, nowMs: number): Array<readonly [endpoint: string, perSecond: number, ageMs: number]> {
  const limits: Array<readonly [string, number, number]> = []
  for (const { record, announced: { rateLimit, ownRateLimit } } of rows) {
    if (rateLimit === undefined || ownRateLimit === undefined || rateLimit.perSecond !== ownRateLimit.perSecond) continue
    const ageMs = nowMs - ownRateLimit.heardAtMs
    if (ownRateLimit.perSecond === undefined && ageMs > endpointLimits.reportWithdrawalMs) continue
    limits.push([record.id, ownRateLimit.perSecond ?? noLimit, Math.max(0, Math.round(ageMs))])
  }
  return limits
}
