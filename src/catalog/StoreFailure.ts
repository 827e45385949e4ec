/** Why a call to the store failed. */
export interface StoreFailure {
  /**
   * `unavailable`: no usable answer came. `refused`: the store turned the call away. `historyGone`: changes since the
   * asked version are no longer known, so the table must be read again.
   */
  readonly kind: 'unavailable' | 'refused' | 'historyGone'
  /** Detail for people. */
  readonly message: string
}
