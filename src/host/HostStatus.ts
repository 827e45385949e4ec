import { CatalogTable } from '../catalog/CatalogTable.js'
import type { TableFreshness } from '../catalog/TableFreshness.js'
import { toReportedAge } from '../catalog/toReportedAge.js'
import type { StoreHealth } from '../catalog/StoreHealth.js'
import type { Clock } from '../common/Clock.js'
import { listBackoffs } from '../endpoints/listBackoffs.js'
import { listRateLimits } from '../endpoints/listRateLimits.js'
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
  readonly freshness: TableFreshness
  readonly isReady: () => boolean
  readonly isLeaving: () => boolean
}

/** Collects the state that this host reports in its heartbeats. */
export class HostStatus {
  constructor (private readonly options: HostStatusOptions) {}

  /** Returns the state for a heartbeat to a host of a region, complete when the receiver's region is unknown. */
  describe (region: string | undefined): Omit<Heartbeat, 'host' | 'versions' | 'eras' | 'pages'> {
    const { clock, endpoints, state, requestRate, shares, isReady, isLeaving } = this.options
    const nowMs = clock.nowMs()
    return {
      isReady: isReady(),
      isLeaving: isLeaving(),
      storeAgeMs: this.readStoreAge(nowMs),
      tableAges: this.readTableAges(nowMs),
      isStoreSettled: state.isStoreSettled(nowMs),
      loads: this.listLoads(region),
      breaks: this.listBreaks(nowMs),
      rateLimits: listRateLimits(endpoints, nowMs),
      backoffs: listBackoffs(endpoints, nowMs),
      demands: requestRate.list(nowMs),
      localShares: shares.list()
    }
  }

  /**
   * Returns for log lines how old the configuration is, for how long it may miss changes, for how long another host is known to have a
   * newer one, and the age of the last successful call to the store.
   */
  describeConfigAge (): { configAgeMs: number, unconfirmedMs: number, behindMs: number, storeAgeMs: number } {
    const { clock, state, freshness } = this.options
    const nowMs = clock.nowMs()
    return {
      configAgeMs: Math.round(state.catalog.ageOf(CatalogTable.orders, nowMs)),
      unconfirmedMs: toReportedAge(freshness.getUnconfirmedMs(CatalogTable.orders, nowMs)),
      behindMs: Math.round(freshness.getBehindMs(CatalogTable.orders, nowMs)),
      storeAgeMs: this.readStoreAge(nowMs)
    }
  }

  /** Returns the time in ms since the last successful call to the store; -1 while it is unreachable and before the first call. */
  private readStoreAge (nowMs: number): number {
    return toReportedAge(this.options.health.sinceLastSuccessMs(nowMs))
  }

  private readTableAges (nowMs: number): Heartbeat['tableAges'] {
    const ages = { orders: -1, endpoints: -1, hosts: -1 }
    for (const table of Object.values(CatalogTable)) ages[table] = toReportedAge(this.options.health.tableAgeMs(table, nowMs))
    return ages
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
