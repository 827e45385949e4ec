import type { ServiceRetryBudget } from '../budget/ServiceRetryBudget.js'
import type { Clock } from '../common/Clock.js'
import type { DenialPolicy } from '../common/DenialPolicy.js'
import type { UpstreamClient } from '../entry/UpstreamClient.js'
import type { EndpointSelector } from '../placing/EndpointSelector.js'
import type { RoutingTable } from '../routing/RoutingTable.js'
import type { WeightedPicker } from '../routing/WeightedPicker.js'
import type { ServiceRequestRate } from '../placing/ServiceRequestRate.js'
import type { RejectedInput } from '../metrics/RejectedInput.js'
import type { HttpBinding } from './HttpBinding.js'
import type { HostMetrics } from './HostMetrics.js'
import type { NoticeRecorder } from './NoticeRecorder.js'
import type { RequestLog } from './RequestLog.js'

/** Components that serve requests. */
export interface HostContext {
  /** Region of this host. */
  readonly region: string
  readonly clock: Clock
  readonly httpBinding: HttpBinding
  readonly routing: RoutingTable
  readonly denials: DenialPolicy
  readonly picker: WeightedPicker
  readonly endpointSelector: EndpointSelector
  readonly requestRate: ServiceRequestRate
  readonly retries: ServiceRetryBudget
  readonly client: UpstreamClient
  readonly metrics: HostMetrics
  readonly notices: NoticeRecorder
  readonly rejected: RejectedInput
  readonly log: RequestLog
  /** Returns true once the host has tables on which it may rely. */
  readonly isSynced: () => boolean
  /** Returns false when a request whose deadline passes in `leftMs` can't be passed on any more, since this host is leaving. */
  readonly mayPassOn: (leftMs: number) => boolean
  /** Returns the version of the local copy of the endpoints table. */
  readonly endpointsVersion: () => number
  /** Returns log fields that tell how old the configuration and the last news from the store are. */
  readonly describeConfigAge: () => { readonly configAgeMs: number, readonly unconfirmedMs: number, readonly behindMs: number, readonly storeAgeMs: number }
  readonly random: () => number
}
