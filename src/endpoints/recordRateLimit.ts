import type { EndpointRateLimit } from './EndpointRateLimit.js'
import type { EndpointRow } from './EndpointRow.js'

/** Takes over news of an endpoint's rate limit unless newer ones are known. */
export function recordRateLimit (row: EndpointRow, limit: EndpointRateLimit): void {
  const known = row.announced.rateLimit
  const isAlwaysUnlimited = known === undefined && limit.perSecond === undefined
  if (isAlwaysUnlimited || (known !== undefined && known.heardAtMs > limit.heardAtMs)) return
  row.announced.rateLimit = limit
}
