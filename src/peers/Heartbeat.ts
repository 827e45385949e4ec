import type { CatalogPage } from '../catalog/CatalogPage.js'
import type { CatalogTable } from '../catalog/CatalogTable.js'
import type { BackoffReport } from '../endpoints/BackoffReport.js'
import type { HostRecord } from './HostRecord.js'

/** State that hosts exchange a few times a second. */
export interface Heartbeat {
  readonly host: HostRecord
  readonly isReady: boolean
  readonly isLeaving: boolean
  /**
   * Time in ms since the sender's last successful call to the store; -1 while the store is unreachable from the sender. Only
   * hosts of earlier releases use it.
   */
  readonly storeAgeMs: number
  /** Time in ms since the sender's last successful call to the store by table; -1 before the first one and while its calls for the table fail. */
  readonly tableAges: Readonly<Record<CatalogTable, number>>
  /** True when entries that are missing from the store were removed, and did not merely lapse during an outage that has just ended. */
  readonly isStoreSettled: boolean
  /** Versions of the sender's tables. */
  readonly versions: Readonly<Record<CatalogTable, number>>
  /** Eras of the store that the versions belong to; absent from hosts of an earlier release. */
  readonly eras?: Readonly<Record<CatalogTable, number>> | undefined
  /** Requests in flight by endpoint; endpoints without any are left out. */
  readonly loads: ReadonlyArray<readonly [endpoint: string, inFlight: number]>
  /** Consecutive broken attempts by endpoint, for endpoints whose last attempt broke recently. */
  readonly breaks: ReadonlyArray<readonly [endpoint: string, count: number]>
  /**
   * Rate limits that endpoints named in responses to the sender, in requests a second, and the age of the response in ms; -1 when
   * the endpoint has named none since.
   */
  readonly rateLimits: ReadonlyArray<readonly [endpoint: string, perSecond: number, ageMs: number]>
  /** Endpoints that asked the sender for a time without requests. */
  readonly backoffs: readonly BackoffReport[]
  /** Request rate that the sender receives, by service. */
  readonly demands: ReadonlyArray<readonly [service: string, perSecond: number]>
  /** Share of the sender's requests that stay in its region, by service. */
  readonly localShares: ReadonlyArray<readonly [service: string, share: number]>
  /** Updates for tables of which the receiver has an older version; only hosts of earlier releases send any. */
  readonly pages: ReadonlyArray<readonly [table: CatalogTable, page: CatalogPage]>
}
