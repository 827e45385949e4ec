import type { PeerTable } from '../peers/PeerTable.js'
import { System } from '../common/System.js'
import type { EndpointRow } from '../endpoints/EndpointRow.js'
import type { EndpointTable } from '../endpoints/EndpointTable.js'
import { computeLocalShare } from './computeLocalShare.js'
import type { DemandMeter } from './DemandMeter.js'
import type { LocalShares } from './LocalShares.js'
import { placementLimits } from './placementLimits.js'
import { computeUtilization } from './computeUtilization.js'

/** What the shares are computed from. */
interface ShareSystemOptions {
  readonly region: string
  /** Endpoints know no objects yet. */
  readonly isFirstStart: boolean
  readonly endpoints: EndpointTable
  readonly peers: PeerTable
  readonly demand: DemandMeter
  readonly shares: LocalShares
  readonly evacuated: ReadonlySet<string>
}

/** Keeps the local share of each service in step with demand and capacity of the regions. */
export class ShareSystem extends System {
  override readonly name = 'shares'

  constructor (private readonly options: ShareSystemOptions) {
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
   * The share that this host begins with. At the very first start it is 0: each object has one home then, and little work
   * is done by endpoints that are new to it. After that it is what the neighbours have, or an estimate after a restart of
   * all, so that objects return to the endpoints that know them.
   */
  private chooseInitialShare (service: string, loads: Parameters<typeof computeLocalShare>[1], nowMs: number): number {
    const known = this.averagePeerShares(service, nowMs)
    if (known !== undefined) return known
    if (this.options.isFirstStart) return 0
    return computeLocalShare(this.options.region, loads.map((load) => ({ ...load, demand: 1 })), placementLimits.restartUtilization)
  }

  /** Mean share of the other hosts of the region; undefined when there are none. */
  private averagePeerShares (service: string, nowMs: number): number | undefined {
    const { region, peers } = this.options
    const known = peers.listAlive(nowMs)
      .filter((peer) => peer.record.region === region)
      .flatMap((peer) => peer.localShares.filter(([name]) => name === service).map(([, share]) => share))
    return known.length === 0 ? undefined : known.reduce((sum, share) => sum + share, 0) / known.length
  }

  /** Requests a second by service and region of the receiving host. */
  private sumDemands (nowMs: number): Map<string, Map<string, number>> {
    const { region, peers, demand } = this.options
    const sums = new Map<string, Map<string, number>>()
    const add = (name: string, demands: ReadonlyArray<readonly [string, number]>): void => {
      for (const [service, perSecond] of demands) {
        const byRegion = sums.get(service) ?? new Map<string, number>()
        sums.set(service, byRegion)
        byRegion.set(name, (byRegion.get(name) ?? 0) + perSecond)
      }
    }
    add(region, demand.list(nowMs))
    for (const peer of peers.listAlive(nowMs)) add(peer.record.region, peer.demands)
    return sums
  }
}

function sumSlotsByRegion (rows: readonly EndpointRow[]): Map<string, number> {
  const slots = new Map<string, number>()
  for (const row of rows) slots.set(row.region, (slots.get(row.region) ?? 0) + row.record.slots)
  return slots
}
