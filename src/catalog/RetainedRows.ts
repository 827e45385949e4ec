import type { CatalogRow } from './CatalogRow.js'

/** Rows of earlier eras that hold although the restored store has lost them. */
export interface RetainedRows {
  /** Time in ms for which they hold unless they are written again. */
  readonly remainingMs: number
  readonly rows: readonly CatalogRow[]
}
