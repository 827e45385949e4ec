/** A row of the table service; version 0 means absent. */
interface Row {
  readonly version: number
  readonly value: unknown
}

/** One conditional write. */
interface Write {
  readonly row: string
  readonly ifVersion: number
  readonly value: unknown
}

/** Result of a conditional write: the new versions, or the row that did not match. */
type WriteResult =
  | { readonly kind: 'written', readonly versions: readonly number[] }
  | { readonly kind: 'conflict', readonly row: string, readonly current: Row }

const absent: Row = { version: 0, value: null }

/** Rows and objects of the platform stand-in, with an undo log so that it can be rolled back. */
export class PlatformStore {
  private readonly rows = new Map<string, Row>()
  private readonly objects = new Map<string, Buffer>()
  private readonly undoLog: (() => void)[] = []

  readRow (row: string): Row | undefined {
    return this.rows.get(row)
  }

  /** Applies all writes or none. */
  write (writes: readonly Write[]): WriteResult {
    for (const { row, ifVersion } of writes) {
      const current = this.rows.get(row) ?? absent
      if (current.version !== ifVersion) return { kind: 'conflict', row, current }
    }
    const before = writes.map(({ row }) => ({ row, old: this.rows.get(row) }))
    this.undoLog.push(() => { for (const { row, old } of before) restore(this.rows, row, old) })
    return { kind: 'written', versions: writes.map((write) => this.writeRow(write)) }
  }

  readObject (name: string): Buffer | undefined {
    return this.objects.get(name)
  }

  /** Stores an object; false when the name is taken by other bytes. */
  writeObject (name: string, bytes: Buffer): boolean {
    const old = this.objects.get(name)
    if (old !== undefined) return old.equals(bytes)
    this.objects.set(name, bytes)
    this.undoLog.push(() => { this.objects.delete(name) })
    return true
  }

  /** Undoes the last `count` writes of rows; objects written since then disappear too. */
  rollBack (count: number): number {
    let undone = 0
    while (undone < count) {
      const undo = this.undoLog.pop()
      if (undo === undefined) break
      undo()
      undone += 1
    }
    return undone
  }

  private writeRow ({ row, ifVersion, value }: Write): number {
    this.rows.set(row, { version: ifVersion + 1, value })
    return ifVersion + 1
  }
}

function restore (rows: Map<string, Row>, row: string, old: Row | undefined): void {
  if (old === undefined) rows.delete(row)
  else rows.set(row, old)
}
