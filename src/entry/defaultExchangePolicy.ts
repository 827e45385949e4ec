import { entryLimits } from './entryLimits.js'
import type { ExchangePolicy } from './ExchangePolicy.js'

/** The policy for connections to the endpoints and hosts of this system. */
export const defaultExchangePolicy: ExchangePolicy = {
  connectTimeoutMs: entryLimits.connectTimeoutMs,
  maxHeldBytes: entryLimits.maxBufferedBytes,
  acceptsUnframed: false,
  retriesStale: true
}
