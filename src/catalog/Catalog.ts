import type { CatalogEntry } from './CatalogEntry.js'
import type { CatalogPage } from './CatalogPage.js'
import type { CatalogTable } from './CatalogTable.js'

/** This host's copy of one table. */
interface TableCopy {
  /** Version of the store at which the rows last changed or were read. */
  version: number
  /** Version up to which the store has reported changes. */
  followedTo: number
  /** Monotonic ms at which this version was learned. */
  learnedAtMs: number
  rows: Map<string, CatalogEntry>
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
    return this.copies.get(table)?.followedTo ?? -1
  }

  /** Time in ms since this version was learned. */
  ageOf (table: CatalogTable, nowMs: number): number {
    return nowMs - (this.copies.get(table)?.learnedAtMs ?? nowMs)
  }

  entries (table: CatalogTable): CatalogEntry[] {
    return [...this.copies.get(table)?.rows.values() ?? []]
  }

  /** The whole copy as a page that another host can take over. */
  exportPage (table: CatalogTable): CatalogPage {
    const copy = this.copies.get(table)
    const rows = [...copy?.rows.entries() ?? []].map(([key, entry]) => ({ key, entry }))
    return { version: copy?.version ?? -1, rows }
  }

  /** Replaces a table; false when the page is not newer. `source` names where it came from, for logs. */
  replace (table: CatalogTable, page: CatalogPage, nowMs: number, source: string): boolean {
    if (page.version <= this.versionOf(table)) return false
    const rows = new Map<string, CatalogEntry>()
    for (const { key, entry } of page.rows) if (entry !== undefined) rows.set(key, entry)
    this.copies.set(table, { version: page.version, followedTo: page.version, learnedAtMs: nowMs, rows })
    this.onChange(table, source)
    return true
  }

  /** Applies changes since `after`; false when the copy has moved on meanwhile, so that they may not fit it. */
  change (table: CatalogTable, after: number, page: CatalogPage, nowMs: number, source: string): boolean {
    const copy = this.copies.get(table)
    if (copy?.followedTo !== after) return false
    if (page.version <= after) return true
    copy.followedTo = page.version
    if (page.rows.length === 0) return true
    copy.version = page.version
    copy.learnedAtMs = nowMs
    for (const { key, entry } of page.rows) {
      if (entry === undefined) copy.rows.delete(key)
      else copy.rows.set(key, entry)
    }
    this.onChange(table, source)
    return true
  }
}
