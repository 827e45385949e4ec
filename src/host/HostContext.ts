import type { RetryBudget } from '../budget/RetryBudget.js'
import type { Clock } from '../common/Clock.js'
import type { UpstreamClient } from '../entry/UpstreamClient.js'
import type { Placer } from '../placing/Placer.js'
import type { RoutingTable } from '../routing/RoutingTable.js'
import type { WeightedPicker } from '../routing/WeightedPicker.js'
import type { DemandMeter } from '../placing/DemandMeter.js'
import type { Dialect } from './Dialect.js'
import type { HostMetrics } from './HostMetrics.js'
import type { RequestLog } from './RequestLog.js'

/** Components that serve requests. */
export interface HostContext {
  /** Region of this host. */
  readonly region: string
  readonly clock: Clock
  readonly dialect: Dialect
  readonly routing: RoutingTable
  readonly picker: WeightedPicker
  readonly placer: Placer
  readonly demand: DemandMeter
  readonly retries: RetryBudget
  readonly client: UpstreamClient
  readonly metrics: HostMetrics
  readonly log: RequestLog
  /** Returns the version of the local copy of the endpoints table. */
  readonly endpointsVersion: () => number
  readonly random: () => number
}
