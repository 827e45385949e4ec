import type { CatalogRow } from './CatalogRow.js'

/** Rows of a table as of a version of the store: all of them, or those changed since an earlier version. */
export interface CatalogPage {
  readonly version: number
  readonly rows: readonly CatalogRow[]
}
