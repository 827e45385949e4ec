import type { CatalogEntry } from './CatalogEntry.js'

/** One row of a table. Without an entry the row was removed or is unusable. */
export interface CatalogRow {
  readonly key: string
  /** Store version at which the row last changed. */
  readonly version: number
  readonly entry: CatalogEntry | undefined
}
