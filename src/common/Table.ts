/** A collection of rows by id, which systems read and update on each tick. */
export class Table<Row> implements Iterable<Row> {
  private readonly rows = new Map<string, Row>()

  get size (): number {
    return this.rows.size
  }

  get (id: string): Row | undefined {
    return this.rows.get(id)
  }

  has (id: string): boolean {
    return this.rows.has(id)
  }

  set (id: string, row: Row): Row {
    this.rows.set(id, row)
    return row
  }

  delete (id: string): boolean {
    return this.rows.delete(id)
  }

  /** Returns the row for `id`, creating it with `create` when it is absent. */
  ensure (id: string, create: () => Row): Row {
    return this.rows.get(id) ?? this.set(id, create())
  }

  /** Removes the rows for which `test` is true and returns how many were removed. */
  deleteWhere (test: (row: Row, id: string) => boolean): number {
    let removed = 0
    for (const [id, row] of this.rows) {
      if (test(row, id)) {
        this.rows.delete(id)
        removed += 1
      }
    }
    return removed
  }

  ids (): IterableIterator<string> {
    return this.rows.keys()
  }

  entries (): IterableIterator<[string, Row]> {
    return this.rows.entries()
  }

  [Symbol.iterator] (): IterableIterator<Row> {
    return this.rows.values()
  }
}
