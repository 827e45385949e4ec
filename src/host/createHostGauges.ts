import type { ServiceRetryBudget } from '../budget/ServiceRetryBudget.js'
import { CatalogTable } from '../catalog/CatalogTable.js'
import type { StoreHealth } from '../catalog/StoreHealth.js'
import type { TableFreshness } from '../catalog/TableFreshness.js'
import type { Clock } from '../common/Clock.js'
import type { EndpointRow } from '../endpoints/EndpointRow.js'
import type { EndpointTable } from '../endpoints/EndpointTable.js'
import type { DrainableHttpServer } from '../entry/DrainableHttpServer.js'
import type { PeerTable } from '../peers/PeerTable.js'
import type { RoutingTable } from '../routing/RoutingTable.js'
import type { ClusterState } from './ClusterState.js'
import type { HostGauges } from './HostGauges.js'

/** Parts of a host process whose state is shown as metrics. */
interface GaugeSources {
  readonly front: DrainableHttpServer
  readonly peers: PeerTable
  readonly routing: RoutingTable
  readonly health: StoreHealth
  readonly freshness: TableFreshness
  readonly state: ClusterState
  readonly endpoints: EndpointTable
  readonly retries: ServiceRetryBudget
  readonly clock: Clock
}

/** Creates the functions that read the current values of a host process when metrics are scraped. */
export function createHostGauges ({ front, peers, routing, health, freshness, state, endpoints, retries, clock }: GaugeSources): HostGauges {
  const countEndpoints = (isCounted: (row: EndpointRow) => boolean): number => [...endpoints].filter(isCounted).length
  return {
    countInFlight: () => front.inFlight,
    countConnections: () => front.connections,
    countUnreadConnections: () => front.unreadConnections,
    countAbandoned: () => front.abandoned,
    countPeers: () => peers.listAlive(clock.nowMs()).length,
    configVersion: () => routing.config?.version ?? 0,
    isStoreDown: () => health.isDown,
    getTableAge: (table) => freshness.getUnconfirmedMs(table, clock.nowMs()),
    getBehindMs: (table) => freshness.getBehindMs(table, clock.nowMs()),
    getStoreEra: () => state.catalog.positionOf(CatalogTable.orders).era,
    countRetainedRows: (table) => state.catalog.countRetained(table),
    countLimitedEndpoints: () => countEndpoints((row) => row.announced.rateLimit?.perSecond !== undefined),
    countLeavingEndpoints: () => countEndpoints((row) => row.announced.leavingSinceMs !== undefined),
    countBackingOffEndpoints: () => countEndpoints((row) => row.announced.backoffUntilMs > clock.nowMs()),
    listRetryBudgets: () => retries.list(clock.nowMs())
  }
}
