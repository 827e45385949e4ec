import type { StoreRow } from './StoreRow.js'

/** Name of a row. */
interface RowName {
  readonly table: string
  readonly part?: string
  readonly key: string
}

/** A change under a condition. */
interface Transaction {
  readonly precondition?: ReadonlyArray<RowName & { readonly ver: number }>
  readonly puts?: ReadonlyArray<RowName & { readonly value: string }>
  readonly remove?: readonly RowName[]
}

/** Rows of the store stand-in with their history. */
export class StoreTables {
  private readonly rows = new Map<string, StoreRow>()
  private history: StoreRow[] = []
  private oldestKnown = 0
  private version = 0
  private readonly blobs = new Map<string, Buffer>()
  private readonly undoLog: Array<() => void> = []

  get newest (): number {
    return this.version
  }

  /** Puts one row and returns the new version. */
  put (table: string, key: string, value: unknown): number {
    return this.apply({ puts: [{ table, key, value: encode(value) }] })
  }

  remove (table: string, key: string): number {
    return this.apply({ remove: [{ table, key }] })
  }

  get (table: string, key: string): StoreRow | undefined {
    return this.rows.get(nameOf({ table, key }))
  }

  list (table: string, part: string): StoreRow[] {
    return [...this.rows.values()]
      .filter((row) => row.table === table && row.part === part)
      .sort((a, b) => a.key < b.key ? -1 : 1)
  }

  /** Rows of a table changed after a version, or undefined when that history is gone. */
  listChanges (table: string, after: number): StoreRow[] | undefined {
    if (after < this.oldestKnown) return undefined
    return this.history.filter((row) => row.table === table && row.ver > after)
  }

  /** Drops the history up to now. */
  forgetHistory (): void {
    this.history = []
    this.oldestKnown = this.version
  }

  /** Rows that don't have the version that a transaction expects. */
  findConflicts (transaction: Transaction): StoreRow[] | undefined {
    const expected = transaction.precondition ?? []
    const isMet = expected.every((row) => (this.rows.get(nameOf(row))?.ver ?? 0) === row.ver)
    return isMet ? undefined : expected.flatMap((row) => this.rows.get(nameOf(row)) ?? [])
  }

  readBlob (name: string): Buffer | undefined {
    return this.blobs.get(name)
  }

  /** Stores an object; false when the name is taken. */
  writeBlob (name: string, bytes: Buffer): boolean {
    if (this.blobs.has(name)) return false
    this.blobs.set(name, bytes)
    this.undoLog.push(() => { this.blobs.delete(name) })
    return true
  }

  /** Undoes the last `count` writes as a restore from an older copy would; returns how many there were. */
  rollBack (count: number): number {
    const undone = this.undoLog.splice(Math.max(0, this.undoLog.length - count)).reverse()
    for (const undo of undone) undo()
    return undone.length
  }

  apply (transaction: Transaction): number {
    this.version += 1
    this.noteUndo([...transaction.puts ?? [], ...transaction.remove ?? []])
    for (const { table, part = '', key, value } of transaction.puts ?? []) this.store({ table, part, key, value, ver: this.version })
    for (const { table, part = '', key } of transaction.remove ?? []) this.store({ table, part, key, ver: this.version, tombstone: true })
    return this.version
  }

  private noteUndo (names: readonly RowName[]): void {
    const before = names.map((name) => ({ id: nameOf(name), row: this.rows.get(nameOf(name)) }))
    this.undoLog.push(() => {
      for (const { id, row } of before) {
        if (row === undefined) this.rows.delete(id)
        else this.rows.set(id, row)
      }
    })
  }

  private store (row: StoreRow): void {
    if (row.tombstone === true) this.rows.delete(nameOf(row))
    else this.rows.set(nameOf(row), row)
    this.history.push(row)
  }
}

function nameOf ({ table, part = '', key }: RowName): string {
  return `${table} ${part} ${key}`
}

function encode (value: unknown): string {
  const text = typeof value === 'string' ? value : JSON.stringify(value)
  return Buffer.from(text).toString('base64')
}
