import type { CatalogEntry } from './CatalogEntry.js'
import { catalogLimits } from './catalogLimits.js'
import type { CatalogPage } from './CatalogPage.js'
import type { CatalogRow } from './CatalogRow.js'
import type { CatalogTable } from './CatalogTable.js'

/** This host's copy of one table. */
interface TableCopy {
  /** Version of the store at which the rows last changed or were read. */
  version: number
  /** Version up to which the store has reported changes. */
  syncedVersion: number
  /** Monotonic ms at which this version was learned. */
  updatedAtMs: number
  rows: Map<string, CatalogRow>
  /** Latest changes, the oldest first, complete after `historyFrom`. */
  history: CatalogRow[]
  historyFrom: number
}

/** Called after a table has changed. */
type ChangeListener = (table: CatalogTable, source: string) => void

/** Copies of the shared tables. The version only rises, so late answers and slow peers can't take a table back. */
export class Catalog {
  private readonly copies = new Map<CatalogTable, TableCopy>()

  constructor (private readonly onChange: ChangeListener) {}

  /** Version of the copy; -1 when there is none yet. */
  versionOf (table: CatalogTable): number {
    return this.copies.get(table)?.version ?? -1
  }

  /** Version after which the store is to be asked for changes. */
  resumeAfter (table: CatalogTable): number {
    return this.copies.get(table)?.syncedVersion ?? -1
  }

  /** Time in ms since this version was learned. */
  ageOf (table: CatalogTable, nowMs: number): number {
    return nowMs - (this.copies.get(table)?.updatedAtMs ?? nowMs)
  }

  entries (table: CatalogTable): CatalogEntry[] {
    return [...this.copies.get(table)?.rows.values() ?? []].flatMap((row) => row.entry ?? [])
  }

  /** What a host with an older version lacks: the later changes, or the whole copy when they are no longer known. */
  exportSince (table: CatalogTable, after: number): CatalogPage {
    const copy = this.copies.get(table)
    if (copy === undefined) return { version: -1, rows: [] }
    if (after < copy.historyFrom) return { version: copy.version, rows: [...copy.rows.values()] }
    return { version: copy.version, after, rows: copy.history.filter((row) => row.version > after) }
  }

  /** Takes in a page; false when it is not newer or does not fit the copy. `source` names where it came from, for logs. */
  apply (table: CatalogTable, page: CatalogPage, nowMs: number, source: string): boolean {
    const isApplied = page.after === undefined ? this.replaceRows(table, page, nowMs) : this.mergeChanges(table, page, page.after, nowMs)
    if (isApplied) this.onChange(table, source)
    return isApplied
  }

  private replaceRows (table: CatalogTable, page: CatalogPage, nowMs: number): boolean {
    if (page.version <= this.versionOf(table)) return false
    const rows = new Map(page.rows.filter((row) => row.entry !== undefined).map((row) => [row.key, row]))
    const { version } = page
    this.copies.set(table, { version, syncedVersion: version, updatedAtMs: nowMs, rows, history: [], historyFrom: version })
    return true
  }

  private mergeChanges (table: CatalogTable, page: CatalogPage, after: number, nowMs: number): boolean {
    const copy = this.copies.get(table)
    // A gap between the copy and the changes would hide what happened in it.
    if (copy === undefined || after > copy.syncedVersion || page.version <= copy.version) return false
    const newerRows = page.rows.filter((row) => row.version > copy.version)
    copy.syncedVersion = Math.max(copy.syncedVersion, page.version)
    if (newerRows.length === 0) return false
    for (const row of newerRows) {
      if (row.entry === undefined) copy.rows.delete(row.key)
      else copy.rows.set(row.key, row)
    }
    copy.version = page.version
    copy.updatedAtMs = nowMs
    copy.history.push(...newerRows)
    this.trimHistory(copy)
    return true
  }

  private trimHistory (copy: TableCopy): void {
    const surplus = copy.history.length - catalogLimits.maxHistory
    if (surplus <= 0) return
    copy.historyFrom = copy.history[surplus - 1]!.version
    copy.history = copy.history.slice(surplus)
  }
}
