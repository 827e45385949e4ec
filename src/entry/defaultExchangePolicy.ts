import { entryLimits } from './entryLimits.js'
import type { ExchangePolicy } from './ExchangePolicy.js'

/** The policy for connections to the endpoints and hosts of this system. */
export const defaultExchangePolicy: ExchangePolicy = {
  connectTimeoutMs: entryLimits.connectTimeoutMs,
  maxBufferedBytes: entryLimits.maxBufferedBytes,
  acceptsUnframedResponse: false,
  retriesStaleConnection: true
}
