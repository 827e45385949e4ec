import type { StoreRow } from './StoreRow.js'

/** Identifies a row. */
interface RowKey {
  readonly table: string
  readonly part?: string
  readonly key: string
}

/** A conditional change of several rows. */
interface Transaction {
  readonly precondition?: ReadonlyArray<RowKey & { readonly ver: number }>
  readonly puts?: ReadonlyArray<RowKey & { readonly value: string }>
  readonly remove?: readonly RowKey[]
}

/** Rows and change history as of one version, to which the stand-in can be restored. */
interface StoreCopy {
  readonly rows: ReadonlyMap<string, StoreRow>
  readonly history: readonly StoreRow[]
  readonly historyStartVersion: number
  readonly version: number
}

/** Rows, change history and objects of the store stand-in. */
export class StoreTables {
  private rows = new Map<string, StoreRow>()
  private history: StoreRow[] = []
  private historyStartVersion = 0
  private version = 0
  private eraNumber = 1
  private readonly blobs = new Map<string, Buffer>()
  private undoLog: Array<() => void> = []

  get latestVersion (): number {
    return this.version
  }

  /** Rises by one with each restore. */
  get era (): number {
    return this.eraNumber
  }

  /** Writes one row and returns the new version. */
  put (table: string, key: string, value: unknown): number {
    return this.apply({ puts: [{ table, key, value: encode(value) }] })
  }

  remove (table: string, key: string): number {
    return this.apply({ remove: [{ table, key }] })
  }

  get (table: string, key: string): StoreRow | undefined {
    return this.rows.get(formatRowId({ table, key }))
  }

  list (table: string, part: string): StoreRow[] {
    return [...this.rows.values()]
      .filter((row) => row.table === table && row.part === part)
      .sort((a, b) => a.key < b.key ? -1 : 1)
  }

  /** Returns the changes of a table after a version, or undefined when the store doesn't have that version or its history. */
  listChanges (table: string, after: number): StoreRow[] | undefined {
    if (after < this.historyStartVersion || after > this.version) return undefined
    return this.history.filter((row) => row.table === table && row.ver > after)
  }

  /** Discards the change history up to the current version. */
  truncateHistory (): void {
    this.history = []
    this.historyStartVersion = this.version
  }

  /** Returns the current rows of a transaction's preconditions when any of them isn't met, otherwise undefined. */
  findConflicts (transaction: Transaction): StoreRow[] | undefined {
    const preconditions = transaction.precondition ?? []
    const isMet = preconditions.every((row) => (this.rows.get(formatRowId(row))?.ver ?? 0) === row.ver)
    return isMet ? undefined : preconditions.flatMap((row) => this.rows.get(formatRowId(row)) ?? [])
  }

  readBlob (name: string): Buffer | undefined {
    return this.blobs.get(name)
  }

  /** Stores an object; returns false when the name is already in use. */
  writeBlob (name: string, bytes: Buffer): boolean {
    if (this.blobs.has(name)) return false
    this.blobs.set(name, bytes)
    this.undoLog.push(() => { this.blobs.delete(name) })
    return true
  }

  /** Undoes the last `count` writes, as a restore from an older backup would; returns the number of writes undone. */
  rollBack (count: number): number {
    const undone = this.undoLog.splice(Math.max(0, this.undoLog.length - count)).reverse()
    for (const undo of undone) undo()
    return undone.length
  }

  copy (): StoreCopy {
    const { rows, history, historyStartVersion, version } = this
    return { rows: new Map(rows), history: [...history], historyStartVersion, version }
  }

  /** Returns to an earlier copy: what was written since is lost, and its versions are given out again. Objects stay. */
  restore (copy: StoreCopy): void {
    this.rows = new Map(copy.rows)
    this.history = [...copy.history]
    this.historyStartVersion = copy.historyStartVersion
    this.version = copy.version
    this.undoLog = []
    this.eraNumber += 1
  }

  apply (transaction: Transaction): number {
    this.version += 1
    this.recordUndo([...transaction.puts ?? [], ...transaction.remove ?? []])
    for (const { table, part = '', key, value } of transaction.puts ?? []) this.storeRow({ table, part, key, value, ver: this.version })
    for (const { table, part = '', key } of transaction.remove ?? []) this.storeRow({ table, part, key, ver: this.version, tombstone: true })
    return this.version
  }

  private recordUndo (names: readonly RowKey[]): void {
    const previous = names.map((name) => ({ id: formatRowId(name), row: this.rows.get(formatRowId(name)) }))
    this.undoLog.push(() => {
      for (const { id, row } of previous) {
        if (row === undefined) this.rows.delete(id)
        else this.rows.set(id, row)
      }
    })
  }

  private storeRow (row: StoreRow): void {
    if (row.tombstone === true) this.rows.delete(formatRowId(row))
    else this.rows.set(formatRowId(row), row)
    this.history.push(row)
  }
}

function formatRowId ({ table, part = '', key }: RowKey): string {
  return `${table} ${part} ${key}`
}

function encode (value: unknown): string {
  const text = typeof value === 'string' ? value : JSON.stringify(value)
  return Buffer.from(text).toString('base64')
}
