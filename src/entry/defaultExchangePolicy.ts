import { entryLimits } from './entryLimits.js'
import type { ExchangePolicy } from './ExchangePolicy.js'

/** The policy of connections to this system's own kind of endpoints and hosts. */
export const defaultExchangePolicy: ExchangePolicy = {
  connectTimeoutMs: entryLimits.connectTimeoutMs,
  maxHeldBytes: entryLimits.maxBufferedBytes,
  acceptsUnframed: false,
  retriesStale: true
}
