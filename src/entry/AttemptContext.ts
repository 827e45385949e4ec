import type { Clock } from '../common/Clock.js'
import type { RequestMetrics } from '../metrics/RequestMetrics.js'
import type { Steering } from '../steer/Steering.js'
import type { InternalAuth } from './InternalAuth.js'
import type { ServiceTimes } from './ServiceTimes.js'
import type { UpstreamClient } from './UpstreamClient.js'

/** What all attempts of a process share. */
export interface AttemptContext {
  /** Name of the own host. */
  readonly host: string
  readonly clock: Clock
  readonly steering: Steering
  /** Client for endpoints. */
  readonly endpoints: UpstreamClient
  /** Client for the internal port of other hosts. */
  readonly hosts: UpstreamClient
  readonly auth: InternalAuth
  readonly times: ServiceTimes
  readonly metrics: RequestMetrics
}
