/** A cap that hosts which run an older configuration may still use. */
export interface PriorCap {
  readonly customer: string
  /** First configuration version in which the cap no longer holds. */
  readonly untilVersion: number
  readonly rate: number
  readonly burst: number
  readonly concurrency: number
  readonly uploadBytesPerSecond: number
  /** Names of all hosts that the configuration had at that time. */
  readonly hosts: readonly string[]
}
