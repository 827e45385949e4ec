import type { Clock } from '../common/Clock.js'
import type { DialMap } from '../common/DialMap.js'
import { InputEdge } from '../common/InputEdge.js'
import { HttpUpstreamClient } from '../entry/HttpUpstreamClient.js'
import type { RejectedInput } from '../metrics/RejectedInput.js'
import { hostLimits } from './hostLimits.js'

/** Creates the client by which a host sends requests to endpoints. */
export function createEndpointClient (dial: DialMap, clock: Clock, rejected: RejectedInput): HttpUpstreamClient {
  return new HttpUpstreamClient({
    dial,
    clock,
    maxIdle: hostLimits.maxIdlePerEndpoint,
    policy: {
      connectTimeoutMs: hostLimits.connectTimeoutMs,
      maxBufferedBytes: hostLimits.maxHeldBytes,
      acceptsUnframedResponse: true,
      retriesStaleConnection: false,
      onRejectedResponse: (reason, address) => rejected.record(InputEdge.endpoint, reason, { address })
    }
  })
}
