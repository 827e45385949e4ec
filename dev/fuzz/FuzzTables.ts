import { SilentLogger } from '../../platform/SilentLogger.js'
import type { Catalog } from '../../src/catalog/Catalog.js'
import { StoreHealth } from '../../src/catalog/StoreHealth.js'
import { parseDestination } from '../../src/common/parseDestination.js'
import { SystemClock } from '../../src/common/SystemClock.js'
import { EndpointTable } from '../../src/endpoints/EndpointTable.js'
import { ClusterState } from '../../src/host/ClusterState.js'
import { PeerTable } from '../../src/peers/PeerTable.js'
import { RoutingTable } from '../../src/routing/RoutingTable.js'
import { WeightedPicker } from '../../src/routing/WeightedPicker.js'
import { checkEndpoint } from './checkEndpoint.js'

const drainMs = 2_500

/** The tables of a host that input from other hosts is applied to. */
export class FuzzTables {
  readonly peers = new PeerTable('h-1')
  readonly catalog: Catalog
  readonly nowMs: number
  private readonly routing = new RoutingTable()
  private readonly endpoints = new EndpointTable(() => 'north', () => drainMs)

  constructor () {
    const clock = new SystemClock()
    this.nowMs = clock.nowMs()
    this.catalog = new ClusterState({
      routing: this.routing,
      endpoints: this.endpoints,
      peers: this.peers,
      health: new StoreHealth(),
      clock,
      logger: new SilentLogger(),
      onConfigApplied: () => {},
      confirmSettled: () => true,
      onStoreChange: () => {}
    }).catalog
  }

  /**
   * Uses what the tables hold as requests and heartbeats do.
   * @throws {Error} when code behind the edge could not bear it
   */
  check (): void {
    checkRoutes(this.routing)
    for (const row of this.endpoints) checkEndpoint(row.record)
    for (const row of this.peers) {
      parseDestination(row.record.peerAddress)
      for (const [, perSecond, ageMs] of row.rateLimits) if (!(perSecond >= -1 && ageMs >= 0)) throw new Error(`a host reports a limit of ${perSecond} from ${ageMs} ms ago`)
      for (const [, , leftMs] of row.backoffs) if (!(leftMs >= 0)) throw new Error(`a host reports a back-off of ${leftMs} ms`)
    }
    for (const sum of [...this.peers.sumLoads(this.nowMs).values()]) if (!Number.isFinite(sum)) throw new Error(`a host has ${sum} requests in flight`)
  }
}

function checkRoutes (routing: RoutingTable): void {
  const picker = new WeightedPicker()
  for (const { host: name, prefix } of routing.config?.routes ?? []) {
    const found = routing.find(name, `${prefix}1`)
    if (found === undefined || typeof picker.pick(found) !== 'string') throw new Error('a route names no service')
    if (found.regions.includes('nowhere') || !(found.timeoutMs >= 0)) throw new Error('a route has no limits')
  }
}
