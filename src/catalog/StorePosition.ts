/** Place in the store's history. A store restored from an older copy gives versions out again, in the next era. */
export interface StorePosition {
  readonly era: number
  readonly version: number
}
