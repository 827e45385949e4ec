/** Cap of a customer that holds from a wall time on. */
export interface CapPeriod {
  readonly customer: string
  /** Wall time in ms from which the period's figures bind; a lowered cap binds 6 s after it was accepted. */
  readonly fromMs: number
  readonly rate: number
  readonly burst: number
  readonly concurrency: number
  readonly regionShare: number
}
