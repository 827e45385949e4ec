import type { CatalogRow } from './CatalogRow.js'
import type { RetainedRows } from './RetainedRows.js'
import type { StorePosition } from './StorePosition.js'

/** Rows of a table as of one position of the store. */
export interface CatalogPage extends StorePosition {
  /** When present, the page holds only the rows that changed after this version of its era. Otherwise it holds the whole table. */
  readonly after?: number
  readonly rows: readonly CatalogRow[]
  /** In a whole table from a peer: what the store has lost by a restore. */
  readonly retained?: RetainedRows | undefined
  /** Time of the store's clock in ms when it responded; absent from pages of peers and of a store that doesn't tell it. */
  readonly storeTimeMs?: number | undefined
}
