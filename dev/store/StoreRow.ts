/** A row of the store stand-in. */
export interface StoreRow {
  readonly table: string
  readonly part: string
  readonly key: string
  /** Base64; absent when the row has been removed. */
  readonly value?: string
  readonly ver: number
  readonly tombstone?: true
}
