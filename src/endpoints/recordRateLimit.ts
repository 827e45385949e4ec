import type { EndpointRateLimit } from './EndpointRateLimit.js'
import type { EndpointRow } from './EndpointRow.js'

/** Takes over news of an endpoint's rate limit unless newer ones are known. */
export function recordRateLimit (row: EndpointRow, limit: EndpointRateLimit): void {
  const isAlwaysUnlimited = row.rateLimit === undefined && limit.perSecond === undefined
  if (isAlwaysUnlimited || (row.rateLimit !== undefined && row.rateLimit.heardAtMs > limit.heardAtMs)) return
  row.rateLimit = limit
}
