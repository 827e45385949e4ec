import { CatalogTable } from './CatalogTable.js'

/** Tracks whether the store is reachable from this host, and since when, and when each table was last read. */
export class StoreHealth {
  private readonly readTables = new Set<CatalogTable>()
  /** Time of the last successful call by table; tables whose last call failed are left out. */
  private readonly contacts = new Map<CatalogTable, number>()
  private recoveredAtMs: number | undefined
  private lastSuccessAtMs: number | undefined
  private down = false

  /** True once a call for each table has succeeded, or while the store is unreachable. */
  get hasStartResult (): boolean {
    return this.down || this.readTables.size === Object.keys(CatalogTable).length
  }

  get isDown (): boolean {
    return this.down
  }

  /** Records a failed call for a table and returns true when the store was reachable before. */
  recordFailure (table: CatalogTable): boolean {
    this.contacts.delete(table)
    const wasReachable = !this.down
    this.down = true
    return wasReachable
  }

  /** Records a successful call for a table and returns true when the store was unreachable before. */
  recordSuccess (table: CatalogTable, nowMs: number): boolean {
    this.readTables.add(table)
    this.contacts.set(table, nowMs)
    this.lastSuccessAtMs = nowMs
    if (!this.down) return false
    this.down = false
    this.recoveredAtMs = nowMs
    return true
  }

  /** Returns the time in ms since the last successful call; infinite before the first one and while the store is unreachable. */
  sinceLastSuccessMs (nowMs: number): number {
    return this.down || this.lastSuccessAtMs === undefined ? Infinity : nowMs - this.lastSuccessAtMs
  }

  /** Returns the time in ms since the last successful call for a table; infinite before the first one and after a failed one. */
  tableAgeMs (table: CatalogTable, nowMs: number): number {
    return nowMs - (this.contacts.get(table) ?? -Infinity)
  }

  /** Returns the time in ms since the store became reachable again; infinite when it was never unreachable. */
  sinceRecoveryMs (nowMs: number): number {
    return this.recoveredAtMs === undefined ? Infinity : nowMs - this.recoveredAtMs
  }
}
