import type { PeerTable } from '../peers/PeerTable.js'
import { System } from '../common/System.js'
import type { EndpointRow } from '../endpoints/EndpointRow.js'
import type { EndpointTable } from '../endpoints/EndpointTable.js'
import { computeLocalShare } from './computeLocalShare.js'
import type { ServiceRequestRate } from './ServiceRequestRate.js'
import type { LocalShares } from './LocalShares.js'
import { placementLimits } from './placementLimits.js'
import { computeUtilization } from './computeUtilization.js'

/** Inputs from which the local shares are computed, and the table that receives them. */
interface LocalShareSystemOptions {
  readonly region: string
  /** The deployment starts for the first time, so no endpoint has handled any object. */
  readonly isFirstStart: boolean
  readonly endpoints: EndpointTable
  readonly peers: PeerTable
  readonly requestRate: ServiceRequestRate
  readonly shares: LocalShares
  readonly evacuated: ReadonlySet<string>
}

/** Updates the local share of each service from the demand and the capacity of the regions. */
export class LocalShareSystem extends System {
  override readonly name = 'shares'

  constructor (private readonly options: LocalShareSystemOptions) {
    super()
  }

  override run (nowMs: number): void {
    const demands = this.sumDemands(nowMs)
    for (const service of this.options.endpoints.listServices()) this.updateShare(service, demands.get(service) ?? new Map(), nowMs)
  }

  private updateShare (service: string, demands: ReadonlyMap<string, number>, nowMs: number): void {
    const { region, endpoints, evacuated, shares } = this.options
    const rows = endpoints.listService(service).filter((row) => !evacuated.has(row.record.zone))
    const serving = rows.filter((row) => !row.isSuspect && row.coldUntilMs <= nowMs)
    const available = serving.length > 0 ? serving : rows
    const slots = sumSlotsByRegion(available)
    const loads = [...slots].map(([name, count]) => ({ region: name, slots: count, demand: demands.get(name) ?? 0 }))
    const target = computeLocalShare(region, loads, computeUtilization(available, nowMs))
    shares.moveToward(service, target, this.chooseInitialShare(service, loads, nowMs), nowMs)
  }

  /**
   * Returns the share that a service starts with: the mean of the other hosts in the region, if there are any. Without them
   * it is 0 at the first start of the deployment, so that each object has the same first endpoint in all regions and few
   * endpoints handle an object that is new to them. After a restart of all hosts it is an estimate, so that objects return
   * to the endpoints that handled them before.
   */
  private chooseInitialShare (service: string, loads: Parameters<typeof computeLocalShare>[1], nowMs: number): number {
    const peerShare = this.averagePeerShares(service, nowMs)
    if (peerShare !== undefined) return peerShare
    if (this.options.isFirstStart) return 0
    return computeLocalShare(this.options.region, loads.map((load) => ({ ...load, demand: 1 })), placementLimits.restartUtilization)
  }

  /** Returns the mean share that the other hosts in the region report; undefined when none does. */
  private averagePeerShares (service: string, nowMs: number): number | undefined {
    const { region, peers } = this.options
    const peerShares = peers.listAlive(nowMs)
      .filter((peer) => peer.record.region === region)
      .flatMap((peer) => peer.localShares.filter(([name]) => name === service).map(([, share]) => share))
    return peerShares.length === 0 ? undefined : peerShares.reduce((sum, share) => sum + share, 0) / peerShares.length
  }

  /** Sums the requests per second by service and by region of the receiving host. */
  private sumDemands (nowMs: number): Map<string, Map<string, number>> {
    const { region, peers, requestRate } = this.options
    const sums = new Map<string, Map<string, number>>()
    const add = (name: string, demands: ReadonlyArray<readonly [string, number]>): void => {
      for (const [service, perSecond] of demands) {
        const byRegion = sums.get(service) ?? new Map<string, number>()
        sums.set(service, byRegion)
        byRegion.set(name, (byRegion.get(name) ?? 0) + perSecond)
      }
    }
    add(region, requestRate.list(nowMs))
    for (const peer of peers.listAlive(nowMs)) add(peer.record.region, peer.demands)
    return sums
  }
}

function sumSlotsByRegion (rows: readonly EndpointRow[]): Map<string, number> {
  const slots = new Map<string, number>()
  for (const row of rows) slots.set(row.region, (slots.get(row.region) ?? 0) + row.record.slots)
  return slots
}
