import type { CatalogTable } from '../catalog/CatalogTable.js'
import type { Heartbeat } from './Heartbeat.js'
import type { HostRecord } from './HostRecord.js'
import type { TablePositions } from './TablePositions.js'
import type { TableReport } from './TableReport.js'

/** State of another host as this host sees it. Times are monotonic ms. */
export interface PeerRow {
  record: HostRecord
  /** Time of the last heartbeat; undefined before the first one. */
  lastHeartbeatAtMs: number | undefined
  /** True when the peer has been logged as down, and initially, so that its first heartbeat is logged. */
  isReportedDown: boolean
  nextHeartbeatAtMs: number
  /** Time in ms between heartbeats to the peer, and of the peer's to this host. */
  heartbeatIntervalMs: number
  /** Smoothed round trip time in ms of heartbeats; undefined before the first one. */
  roundTripMs: number | undefined
  isHeartbeatInFlight: boolean
  /** True when the peer reports that it can serve callers. */
  isReady: boolean
  isLeaving: boolean
  incarnation: number
  /** True when the peer treats entries that are missing from the store as removed. */
  isStoreSettled: boolean
  /** Positions of the peer's tables as of its last heartbeat; undefined before the first one. */
  positions: TablePositions | undefined
  /** What the peer's last reply told about its tables; undefined before the first one. */
  report: TableReport | undefined
  /**
   * Time of the peer's latest call to the store by table, as far as this host has all changes that the call returned; tables
   * whose calls fail are left out.
   */
  readonly tableContacts: Map<CatalogTable, number>
  /** Request rate that the peer receives, by service. */
  demands: ReadonlyArray<readonly [service: string, perSecond: number]>
  /** Share of the peer's requests that stay in its region, by service. */
  localShares: ReadonlyArray<readonly [service: string, share: number]>
  /** The peer's consecutive broken attempts by endpoint. */
  breaks: ReadonlyArray<readonly [endpoint: string, count: number]>
  /** Rate limits that endpoints named to the peer; see `Heartbeat`. */
  rateLimits: Heartbeat['rateLimits']
  /** Endpoints that asked the peer for a time without requests; see `Heartbeat`. */
  backoffs: Heartbeat['backoffs']
  /** The peer's requests in flight by endpoint. */
  loads: ReadonlyMap<string, number>
}
