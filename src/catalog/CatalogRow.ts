import type { CatalogEntry } from './CatalogEntry.js'

/** One row of a table; without an entry it was removed or cannot be used. */
export interface CatalogRow {
  readonly key: string
  /** Version of the store at which the row last changed. */
  readonly version: number
  readonly entry: CatalogEntry | undefined
}
