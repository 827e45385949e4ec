/** Why a call to the store failed. */
export interface StoreFailure {
  /**
   * `disconnected`: no complete response arrived; the connection may be dead while the store can be reached on a new one.
   * `unavailable`: the response reports an outage or is unusable. `refused`: the store rejected the call. `historyGone`: the
   * store no longer holds the changes since the requested version, so the table must be read in full.
   */
  readonly kind: 'disconnected' | 'unavailable' | 'refused' | 'historyGone'
  /** Human-readable detail. */
  readonly message: string
}
