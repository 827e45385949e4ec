import type { CatalogRow } from './CatalogRow.js'

/** Rows of a table as of a version of the store. */
export interface CatalogPage {
  readonly version: number
  /** The page has only the rows that changed after this version; it is the whole table when absent. */
  readonly after?: number
  readonly rows: readonly CatalogRow[]
}
