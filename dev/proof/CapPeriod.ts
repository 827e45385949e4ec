/** Cap of a customer that is in force from a wall time on. */
export interface CapPeriod {
  readonly customer: string
  /** Wall time in ms from which the cap must hold; a lowered cap must hold 6 s after it was accepted. */
  readonly fromMs: number
  readonly rate: number
  readonly burst: number
  readonly concurrency: number
  readonly regionShare: number
}
