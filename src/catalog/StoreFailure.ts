/** Why a call to the store failed. */
export interface StoreFailure {
  /**
   * `unavailable`: no usable response arrived. `refused`: the store rejected the call. `historyGone`: the store no longer
   * holds the changes since the requested version, so the table must be read in full.
   */
  readonly kind: 'unavailable' | 'refused' | 'historyGone'
  /** Human-readable detail. */
  readonly message: string
}
