import type { Clock } from '../common/Clock.js'
import type { RequestMetrics } from '../metrics/RequestMetrics.js'
import type { Steering } from '../steer/Steering.js'
import type { InternalAuth } from './InternalAuth.js'
import type { ServiceLatencies } from './ServiceLatencies.js'
import type { UpstreamClient } from './UpstreamClient.js'

/** Dependencies that all attempts of a process share. */
export interface AttemptContext {
  /** Name of this host. */
  readonly host: string
  readonly clock: Clock
  readonly steering: Steering
  readonly endpointClient: UpstreamClient
  /** Sends requests to the internal port of other hosts. */
  readonly hostClient: UpstreamClient
  readonly auth: InternalAuth
  readonly latencies: ServiceLatencies
  readonly metrics: RequestMetrics
}
