import { catalogLimits } from '../../src/catalog/catalogLimits.js'
import type { CatalogTable } from '../../src/catalog/CatalogTable.js'
import { TableFreshness } from '../../src/catalog/TableFreshness.js'

/** Freshness that a test sets, the same for all tables unless `unconfirmedMs` tells them apart. */
export class FixedFreshness extends TableFreshness {
  behindMs = 0

  constructor (public unconfirmedMs: number | ((table: CatalogTable, nowMs: number) => number) = 0) {
    super()
  }

  override getUnconfirmedMs (table: CatalogTable, nowMs: number): number {
    return typeof this.unconfirmedMs === 'number' ? this.unconfirmedMs : this.unconfirmedMs(table, nowMs)
  }

  override getBehindMs (): number {
    return this.behindMs
  }

  override getStaleAfterMs (table: CatalogTable): number {
    return catalogLimits.staleAfterMs[table]
  }
}
