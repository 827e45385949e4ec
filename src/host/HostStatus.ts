import type { StoreHealth } from '../catalog/StoreHealth.js'
import type { Clock } from '../common/Clock.js'
import { endpointLimits } from '../endpoints/endpointLimits.js'
import type { EndpointTable } from '../endpoints/EndpointTable.js'
import type { Heartbeat } from '../peers/Heartbeat.js'
import type { DemandMeter } from '../placing/DemandMeter.js'
import type { LocalShares } from '../placing/LocalShares.js'
import type { ClusterState } from './ClusterState.js'

/** What the status is read from. */
interface HostStatusOptions {
  /** Region of this host. */
  readonly region: string
  readonly clock: Clock
  readonly endpoints: EndpointTable
  readonly health: StoreHealth
  readonly state: ClusterState
  readonly demand: DemandMeter
  readonly shares: LocalShares
  readonly isReady: () => boolean
  readonly isLeaving: () => boolean
}

/** What this host tells others of itself. */
export class HostStatus {
  constructor (private readonly options: HostStatusOptions) {}

  /** State of this host for a heartbeat to a host of a region; to any host when it is undefined. */
  describe (region: string | undefined): Omit<Heartbeat, 'host' | 'versions' | 'pages'> {
    const { clock, state, demand, shares, isReady, isLeaving } = this.options
    const nowMs = clock.nowMs()
    return {
      isReady: isReady(),
      isLeaving: isLeaving(),
      storeAgeMs: this.readStoreAge(nowMs),
      isStoreSettled: state.isStoreSettled(nowMs),
      loads: this.listLoads(region),
      breaks: this.listBreaks(nowMs),
      demands: demand.list(nowMs),
      localShares: shares.list()
    }
  }

  /** Time in ms since the store answered, -1 when it is away. */
  private readStoreAge (nowMs: number): number {
    const ageMs = this.options.health.sinceLastSuccessMs(nowMs)
    return ageMs === Infinity ? -1 : Math.round(ageMs)
  }

  /** Requests in flight by endpoint; hosts of other regions need only those at their own endpoints. */
  private listLoads (region: string | undefined): Array<readonly [string, number]> {
    const isNear = region === undefined || region === this.options.region
    const loads: Array<readonly [string, number]> = []
    for (const row of this.options.endpoints) {
      if (row.inFlight > 0 && (isNear || row.region === region)) loads.push([row.record.id, row.inFlight])
    }
    return loads
  }

  /** Endpoints at which the last attempts of this host broke a short time ago. */
  private listBreaks (nowMs: number): Array<readonly [string, number]> {
    return [...this.options.endpoints]
      .filter((row) => row.breaks > 0 && nowMs - row.brokeAtMs < endpointLimits.reportBreaksMs)
      .map((row) => [row.record.id, row.breaks] as const)
  }
}
