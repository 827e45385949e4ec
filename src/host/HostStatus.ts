import { CatalogTable } from '../catalog/CatalogTable.js'
import type { StoreHealth } from '../catalog/StoreHealth.js'
import type { Clock } from '../common/Clock.js'
import { endpointLimits } from '../endpoints/endpointLimits.js'
import type { EndpointTable } from '../endpoints/EndpointTable.js'
import type { Heartbeat } from '../peers/Heartbeat.js'
import type { ServiceRequestRate } from '../placing/ServiceRequestRate.js'
import type { LocalShares } from '../placing/LocalShares.js'
import type { ClusterState } from './ClusterState.js'

/** Components that the status is read from. */
interface HostStatusOptions {
  /** Region of this host. */
  readonly region: string
  readonly clock: Clock
  readonly endpoints: EndpointTable
  readonly health: StoreHealth
  readonly state: ClusterState
  readonly requestRate: ServiceRequestRate
  readonly shares: LocalShares
  readonly isReady: () => boolean
  readonly isLeaving: () => boolean
}

/** Collects the state that this host reports in its heartbeats. */
export class HostStatus {
  constructor (private readonly options: HostStatusOptions) {}

  /** Returns the state for a heartbeat to a host of a region, complete when the receiver's region is unknown. */
  describe (region: string | undefined): Omit<Heartbeat, 'host' | 'versions' | 'pages'> {
    const { clock, state, requestRate, shares, isReady, isLeaving } = this.options
    const nowMs = clock.nowMs()
    return {
      isReady: isReady(),
      isLeaving: isLeaving(),
      storeAgeMs: this.readStoreAge(nowMs),
      isStoreSettled: state.isStoreSettled(nowMs),
      loads: this.listLoads(region),
      breaks: this.listBreaks(nowMs),
      demands: requestRate.list(nowMs),
      localShares: shares.list()
    }
  }

  /** Returns how old the configuration and the last successful call to the store are, for log lines. */
  describeConfigAge (): { configAgeMs: number, storeAgeMs: number } {
    const { clock, state } = this.options
    const nowMs = clock.nowMs()
    return { configAgeMs: Math.round(state.catalog.ageOf(CatalogTable.orders, nowMs)), storeAgeMs: this.readStoreAge(nowMs) }
  }

  /** Returns the time in ms since the last successful call to the store; -1 while it is unreachable and before the first call. */
  private readStoreAge (nowMs: number): number {
    const ageMs = this.options.health.sinceLastSuccessMs(nowMs)
    return ageMs === Infinity ? -1 : Math.round(ageMs)
  }

  /** Lists requests in flight by endpoint. Hosts of other regions receive only those at endpoints of their region. */
  private listLoads (region: string | undefined): Array<readonly [string, number]> {
    const isNear = region === undefined || region === this.options.region
    const loads: Array<readonly [string, number]> = []
    for (const row of this.options.endpoints) {
      if (row.inFlight > 0 && (isNear || row.region === region)) loads.push([row.record.id, row.inFlight])
    }
    return loads
  }

  /** Lists the endpoints at which this host's last attempts broke recently, with the number of consecutive broken attempts. */
  private listBreaks (nowMs: number): Array<readonly [string, number]> {
    return [...this.options.endpoints]
      .filter((row) => row.breaks > 0 && nowMs - row.lastBreakAtMs < endpointLimits.reportBreaksMs)
      .map((row) => [row.record.id, row.breaks] as const)
  }
}
