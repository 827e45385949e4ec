import { CatalogTable } from './CatalogTable.js'

/** Tracks whether the store is reachable from this host, and since when. */
export class StoreHealth {
  private readonly readTables = new Set<CatalogTable>()
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

  /** Records a failed call and returns true when the store was reachable before. */
  recordFailure (): boolean {
    const wasReachable = !this.down
    this.down = true
    return wasReachable
  }

  /** Records a successful call for a table and returns true when the store was unreachable before. */
  recordSuccess (table: CatalogTable, nowMs: number): boolean {
    this.readTables.add(table)
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

  /** Returns the time in ms since the store became reachable again; infinite when it was never unreachable. */
  sinceRecoveryMs (nowMs: number): number {
    return this.recoveredAtMs === undefined ? Infinity : nowMs - this.recoveredAtMs
  }
}
