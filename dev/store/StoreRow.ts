/** One row of the store stand-in. */
export interface StoreRow {
  readonly table: string
  readonly part: string
  readonly key: string
  /** Base64; absent once the row was removed. */
  readonly value?: string
  readonly ver: number
  readonly tombstone?: true
}
