import type { CatalogTable } from '../catalog/CatalogTable.js'
import { computeStaleAfterMs } from '../catalog/computeStaleAfterMs.js'
import { TableFreshness } from '../catalog/TableFreshness.js'
import type { HostBounds } from './HostBounds.js'

/** Sources of what a host knows of its copies. */
interface HostTableFreshnessOptions {
  readonly getUnconfirmedMs: (table: CatalogTable, nowMs: number) => number
  readonly getBehindMs: (table: CatalogTable, nowMs: number) => number
  readonly readBounds: () => HostBounds
}

/** Tells how current the copies of a host are, from its own calls to the store, its peers' reports and the deployment's bounds. */
export class HostTableFreshness extends TableFreshness {
  constructor (private readonly options: HostTableFreshnessOptions) {
    super()
  }

  override getUnconfirmedMs (table: CatalogTable, nowMs: number): number {
    return this.options.getUnconfirmedMs(table, nowMs)
  }

  override getBehindMs (table: CatalogTable, nowMs: number): number {
    return this.options.getBehindMs(table, nowMs)
  }

  override getStaleAfterMs (table: CatalogTable): number {
    return computeStaleAfterMs(table, this.options.readBounds())
  }
}
