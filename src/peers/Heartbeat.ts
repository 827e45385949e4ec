import type { CatalogPage } from '../catalog/CatalogPage.js'
import type { CatalogTable } from '../catalog/CatalogTable.js'
import type { HostRecord } from './HostRecord.js'

/** What hosts tell each other a few times a second. */
export interface Heartbeat {
  readonly host: HostRecord
  readonly isReady: boolean
  readonly isLeaving: boolean
  /** Time in ms since the store answered the sender; -1 when it can't reach the store. */
  readonly storeAgeMs: number
  /** Entries that are missing now are gone, and not lapsed in an outage that has just ended. */
  readonly isStoreSettled: boolean
  /** Versions of the tables that the sender has. */
  readonly versions: Readonly<Record<CatalogTable, number>>
  /** Requests in flight by endpoint, only those that are not 0. */
  readonly loads: ReadonlyArray<readonly [endpoint: string, inFlight: number]>
  /** Broken attempts in a row by endpoint, of those whose last attempt broke lately. */
  readonly breaks: ReadonlyArray<readonly [endpoint: string, count: number]>
  /** Requests a second that the sender receives, by service. */
  readonly demands: ReadonlyArray<readonly [service: string, perSecond: number]>
  /** Shares of the sender's requests that stay in its region, by service. */
  readonly localShares: ReadonlyArray<readonly [service: string, share: number]>
  /** Tables of which the receiver has an older version. */
  readonly pages: ReadonlyArray<readonly [table: CatalogTable, page: CatalogPage]>
}
