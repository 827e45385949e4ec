import type { CatalogRow } from './CatalogRow.js'

/** Rows of a table as of one store version. */
export interface CatalogPage {
  /** Number of the store's history that the versions belong to; it rises when the store is restored from an older copy. */
  readonly era: number
  readonly version: number
  /** When present, the page holds only the rows that changed after this version. Otherwise it holds the whole table. */
  readonly after?: number
  readonly rows: readonly CatalogRow[]
  /** Time of the store's clock in ms when it responded; absent from pages of peers and of a store that doesn't tell it. */
  readonly storeTimeMs?: number | undefined
}
