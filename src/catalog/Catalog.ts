import type { CatalogEntry } from './CatalogEntry.js'
import { catalogLimits } from './catalogLimits.js'
import type { CatalogPage } from './CatalogPage.js'
import type { CatalogRow } from './CatalogRow.js'
import type { CatalogTable } from './CatalogTable.js'
import { comparePositions } from './comparePositions.js'
import { holdsAfterRestore } from './holdsAfterRestore.js'
import { noPosition } from './noPosition.js'
import type { StorePosition } from './StorePosition.js'

/** Local copy of one table. */
interface TableCopy {
  /** Era of the store that the versions belong to. */
  era: number
  /** Store version at which the rows last changed, or of the full read that found them changed. */
  version: number
  /** Store version up to which all changes have been received. */
  syncedVersion: number
  /** Monotonic time in ms at which `version` was last set. */
  updatedAtMs: number
  rows: Map<string, CatalogRow>
  /** Latest removals by key, oldest first. */
  removals: Map<string, CatalogRow>
  /** Rows of earlier eras that hold in place of those in `rows`; without an entry, the row counts as removed. */
  retained: Map<string, CatalogRow>
  /** Monotonic time in ms until which retained rows hold. */
  retainedUntilMs: number
  /** Latest change of each key, oldest first. Holds the key of every change after version `historyFrom`. */
  history: CatalogRow[]
  historyFrom: number
}

/** Source of the change when retained rows are given up. */
const releaseSource = 'grace-ended'

/** Called after a table has changed; `source` is the store, the name of a peer, or `releaseSource`. */
type ChangeListener = (table: CatalogTable, source: string) => void

/**
 * Holds local copies of the shared tables. Positions only increase, so a late response or a slow peer can't revert a table. The
 * era comes first, since a restored store gives out versions again. What was known before a restore and is missing after it holds
 * for a grace time, in which operators and endpoints write it again.
 */
export class Catalog {
  private readonly copies = new Map<CatalogTable, TableCopy>()

  constructor (private readonly onChange: ChangeListener) {}

  /** Returns the version of the local copy, or -1 when there is none yet. */
  versionOf (table: CatalogTable): number {
    return this.positionOf(table).version
  }

  /** Returns the position of the local copy, or `noPosition` when there is none yet. */
  positionOf (table: CatalogTable): StorePosition {
    const copy = this.copies.get(table)
    return copy === undefined ? noPosition : { era: copy.era, version: copy.version }
  }

  /** Returns the position after which changes must be requested from the store, or `noPosition` when there is no copy yet. */
  resumeAfter (table: CatalogTable): StorePosition {
    const copy = this.copies.get(table)
    return copy === undefined ? noPosition : { era: copy.era, version: copy.syncedVersion }
  }

  /** Returns the time in ms since the current version was applied. */
  ageOf (table: CatalogTable, nowMs: number): number {
    return nowMs - (this.copies.get(table)?.updatedAtMs ?? nowMs)
  }

  entries (table: CatalogTable): CatalogEntry[] {
    const copy = this.copies.get(table)
    if (copy === undefined) return []
    return [...new Map([...copy.rows, ...copy.retained]).values()].flatMap((row) => row.entry ?? [])
  }

  /** Returns a row as the store has it, as far as the local copy tells. */
  findStored (table: CatalogTable, key: string): CatalogRow | undefined {
    return this.copies.get(table)?.rows.get(key)
  }

  /** Returns the number of rows that hold although the store has lost them by a restore. */
  countRetained (table: CatalogTable): number {
    return this.copies.get(table)?.retained.size ?? 0
  }

  /** Gives up retained rows that were not written again in time. A configuration stays until a newer one is written. */
  releaseRetained (nowMs: number): void {
    for (const [table, { retained, retainedUntilMs }] of this.copies) {
      if (retained.size === 0 || nowMs < retainedUntilMs) continue
      const released = [...retained.values()].filter((row) => row.entry?.kind !== 'routing')
      for (const row of released) retained.delete(row.key)
      if (released.length > 0) this.onChange(table, releaseSource)
    }
  }

  /** Returns the changes after a position, or the whole table when the history no longer reaches back that far. */
  exportSince (table: CatalogTable, after: StorePosition, nowMs: number): CatalogPage {
    const copy = this.copies.get(table)
    if (copy === undefined) return { ...noPosition, rows: [] }
    const { era, version, history, historyFrom, rows } = copy
    if (after.era !== era || after.version < historyFrom) return { era, version, rows: [...rows.values()], ...exportRetained(copy, nowMs) }
    return { era, version, after: after.version, rows: history.filter((row) => row.version > after.version) }
  }

  /** Applies a page and returns false when it is not newer or leaves a gap after the copy. `source` names the origin for logs. */
  apply (table: CatalogTable, page: CatalogPage, nowMs: number, source: string): boolean {
    const isApplied = page.after === undefined ? this.replaceRows(table, page, nowMs) : this.mergeChanges(table, page, page.after, nowMs)
    if (isApplied) this.onChange(table, source)
    return isApplied
  }

  private replaceRows (table: CatalogTable, page: CatalogPage, nowMs: number): boolean {
    if (comparePositions(page, this.positionOf(table)) <= 0) return false
    const rows = new Map(page.rows.filter((row) => row.entry !== undefined).map((row) => [row.key, row]))
    const { era, version } = page
    const copy = this.copies.get(table)
    const changes = copy?.era === era ? listChanges(copy, rows, version) : undefined
    if (copy !== undefined && changes?.length === 0) {
      copy.syncedVersion = Math.max(copy.syncedVersion, version)
      return false
    }
    const retained = new Map([...this.listEarlier(table, page)].filter(([key, row]) => holdsAfterRestore(row, rows.get(key))))
    const retainedUntilMs = this.computeRetentionEnd(table, page, nowMs)
    const removals = this.listRemovals(table, page, rows)
    const history = copy === undefined || changes === undefined ? { history: [], historyFrom: version } : extendHistory(copy, changes)
    this.copies.set(table, { era, version, syncedVersion: version, updatedAtMs: nowMs, rows, removals, retained, retainedUntilMs, ...history })
    return true
  }

  /** Lists the removals that are known beside a new copy of a table; one of a later era begins without any. */
  private listRemovals (table: CatalogTable, { era, version }: CatalogPage, rows: ReadonlyMap<string, CatalogRow>): Map<string, CatalogRow> {
    const copy = this.copies.get(table)
    if (copy?.era !== era) return new Map()
    const removed = [...copy.rows.keys()].map((key) => [key, { key, version, entry: undefined }] as const)
    return new Map([...copy.removals, ...removed].filter(([key]) => !rows.has(key)).slice(-catalogLimits.maxHistory))
  }

  /** Lists what may hold beside a new copy of a table: after a restore all that was known before it, by this host or the peer. */
  private listEarlier (table: CatalogTable, { era, retained }: CatalogPage): Map<string, CatalogRow> {
    const copy = this.copies.get(table)
    if (copy?.era === era) return copy.retained
    const earlier = new Map(copy === undefined ? [] : listKnownRows(copy))
    for (const row of retained?.rows ?? []) if ((earlier.get(row.key)?.version ?? -1) <= row.version) earlier.set(row.key, row)
    return earlier
  }

  private computeRetentionEnd (table: CatalogTable, { era, retained }: CatalogPage, nowMs: number): number {
    const copy = this.copies.get(table)
    if (copy?.era === era) return copy.retainedUntilMs
    const graceMs = catalogLimits.restoreGraceMs[table]
    return nowMs + Math.min(graceMs, retained?.remainingMs ?? graceMs)
  }

  private mergeChanges (table: CatalogTable, page: CatalogPage, after: number, nowMs: number): boolean {
    const copy = this.copies.get(table)
    // Changes within a gap between the copy and the page would be lost.
    if (copy === undefined || page.era !== copy.era || after > copy.syncedVersion || page.version <= copy.version) return false
    const newerRows = page.rows.filter((row) => row.version > copy.version)
    copy.syncedVersion = Math.max(copy.syncedVersion, page.version)
    if (newerRows.length === 0) return false
    for (const row of newerRows) {
      putRow(copy, row)
      if (isWrittenAgain(copy.retained.get(row.key), row)) copy.retained.delete(row.key)
    }
    copy.version = page.version
    copy.updatedAtMs = nowMs
    Object.assign(copy, extendHistory(copy, newerRows))
    return true
  }
}

/**
 * Lists the rows that changed between a copy and a whole table of the same era, in the order of their versions. A row that is gone
 * counts as removed at the table's version, since that of its removal is not known. Returns undefined when the history can't go on:
 * a row changed that the copy should have had.
 */
function listChanges (copy: TableCopy, rows: ReadonlyMap<string, CatalogRow>, version: number): CatalogRow[] | undefined {
  const written = [...rows.values()].filter((row) => row.version !== copy.rows.get(row.key)?.version)
  if (written.some((row) => row.version <= copy.version)) return undefined
  const removed = [...copy.rows.keys()].filter((key) => !rows.has(key)).map((key) => ({ key, version, entry: undefined }))
  return [...written, ...removed].sort((a, b) => a.version - b.version)
}

/** Adds changes to a history in place of earlier ones of the same keys, and drops the oldest ones beyond `maxHistory`. */
function extendHistory ({ history, historyFrom }: TableCopy, changes: readonly CatalogRow[]): Pick<TableCopy, 'history' | 'historyFrom'> {
  const latest = new Map(changes.map((row) => [row.key, row]))
  const all = [...history.filter(({ key }) => !latest.has(key)), ...changes.filter((row) => latest.get(row.key) === row)]
  const surplus = all.length - catalogLimits.maxHistory
  return surplus <= 0 ? { history: all, historyFrom } : { history: all.slice(surplus), historyFrom: all[surplus - 1]!.version }
}

/** A change after a restore ends what was retained, unless its writer has not come to the newest state yet. */
function isWrittenAgain (retained: CatalogRow | undefined, row: CatalogRow): boolean {
  if (retained === undefined) return false
  return retained.entry === undefined || row.entry === undefined || !holdsAfterRestore(retained, row)
}

/** Lists the latest row by key of a copy, also of removed rows as far as they are known. */
function listKnownRows ({ rows, removals, retained }: TableCopy): Map<string, CatalogRow> {
  return new Map([...removals, ...rows, ...retained])
}

function putRow ({ rows, removals }: TableCopy, row: CatalogRow): void {
  removals.delete(row.key)
  if (row.entry !== undefined) {
    rows.set(row.key, row)
    return
  }
  rows.delete(row.key)
  removals.set(row.key, row)
  if (removals.size > catalogLimits.maxHistory) removals.delete(removals.keys().next().value!)
}

function exportRetained ({ retained, retainedUntilMs }: TableCopy, nowMs: number): Pick<CatalogPage, 'retained'> {
  if (retained.size === 0) return {}
  return { retained: { remainingMs: Math.max(0, retainedUntilMs - nowMs), rows: [...retained.values()] } }
}
