import type { CatalogTable } from '../catalog/CatalogTable.js'
import type { FetchFailure } from './FetchFailure.js'

/** A table of which another host is known to have a newer copy, and what this host's fetches of it have come to. Times are in ms. */
export interface BehindTable {
  readonly table: CatalogTable
  /** Time since another host is known to have a newer copy. */
  readonly behindMs: number
  /** Newest version that another host reports, and that of the local copy. */
  readonly newest: number
  readonly held: number
  /** Number of hosts that have a newer copy. */
  readonly sources: number
  /** Hosts that are being fetched from, and for how long. */
  readonly fetches: ReadonlyArray<{ readonly source: string, readonly elapsedMs: number }>
  /** Fetches that brought nothing, by reason. */
  readonly failures: ReadonlyMap<FetchFailure['kind'], number>
}
