import type { EndpointRow } from './EndpointRow.js'
import { endpointLimits } from './endpointLimits.js'
import { rateLimitCodec } from './rateLimitCodec.js'

/**
 * Lists the rate limits that this host has heard of itself and that no newer news from other hosts contradicts, with their age
 * in ms. News from other hosts isn't passed on, so that it doesn't get younger on the way.
 */
export function listRateLimits (rows: Iterable<EndpointRow>, nowMs: number): Array<readonly [endpoint: string, perSecond: number, ageMs: number]> {
  const limits: Array<readonly [string, number, number]> = []
  for (const { record, announced: { rateLimit, ownRateLimit } } of rows) {
    if (rateLimit === undefined || ownRateLimit === undefined || rateLimit.perSecond !== ownRateLimit.perSecond) continue
    if (ownRateLimit.perSecond === undefined && nowMs - ownRateLimit.heardAtMs > endpointLimits.reportWithdrawalMs) continue
    limits.push(rateLimitCodec.encode(record.id, ownRateLimit, nowMs))
  }
  return limits
}
