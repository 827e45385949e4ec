import type { CatalogTable } from './CatalogTable.js'

/** Tells how current the local copies of the tables are. */
export abstract class TableFreshness {
  /** Returns for how long in ms the local copy of a table may miss changes, as far as this host knows of calls to the store by any host. */
  abstract getUnconfirmedMs (table: CatalogTable, nowMs: number): number

  /** Returns for how long in ms another host is known to have a newer copy of a table; 0 when none is. */
  abstract getBehindMs (table: CatalogTable, nowMs: number): number

  /** Returns the time in ms without a proof after which the local copy of a table counts as stale. */
  abstract getStaleAfterMs (table: CatalogTable): number

  isStale (table: CatalogTable, nowMs: number): boolean {
    return this.getUnconfirmedMs(table, nowMs) >= this.getStaleAfterMs(table)
  }
}
