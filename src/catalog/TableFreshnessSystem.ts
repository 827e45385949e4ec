import type { Logger } from '../common/Logger.js'
import { System } from '../common/System.js'
import { CatalogTable } from './CatalogTable.js'
import type { TableFreshness } from './TableFreshness.js'
import { toReportedAge } from './toReportedAge.js'

/** Inputs of the log lines. */
interface TableFreshnessOptions {
  readonly freshness: TableFreshness
  readonly logger: Logger
}

/** Logs when the local copy of a table becomes stale, and when it is known to be complete again. */
export class TableFreshnessSystem extends System {
  override readonly name = 'freshness'
  /** Time at which each stale table became stale. */
  private readonly staleSince = new Map<CatalogTable, number>()
  /** Tables that have been complete before, so that a start isn't logged as staleness. */
  private readonly confirmed = new Set<CatalogTable>()

  constructor (private readonly options: TableFreshnessOptions) {
    super()
  }

  override run (nowMs: number): void {
    for (const table of Object.values(CatalogTable)) this.check(table, nowMs)
  }

  private check (table: CatalogTable, nowMs: number): void {
    const { freshness } = this.options
    if (!freshness.isStale(table, nowMs)) this.recordFresh(table, nowMs)
    else if (this.confirmed.delete(table)) this.recordStale(table, freshness.getUnconfirmedMs(table, nowMs), nowMs)
  }

  private recordFresh (table: CatalogTable, nowMs: number): void {
    this.confirmed.add(table)
    const sinceMs = this.staleSince.get(table)
    if (sinceMs === undefined) return
    this.staleSince.delete(table)
    this.options.logger.info('table-confirmed', { table, staleMs: Math.round(nowMs - sinceMs) })
  }

  private recordStale (table: CatalogTable, ageMs: number, nowMs: number): void {
    this.staleSince.set(table, nowMs)
    this.options.logger.warn('table-stale', { table, unconfirmedMs: toReportedAge(ageMs) })
  }
}
