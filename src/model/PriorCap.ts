/** A replaced cap that hosts with an older configuration may still apply. */
export interface PriorCap {
  readonly customer: string
  /** First configuration version in which the cap is no longer valid. */
  readonly untilVersion: number
  readonly rate: number
  readonly burst: number
  readonly concurrency: number
  readonly uploadBytesPerSecond: number
  /** Names of all hosts in the configuration to which the cap belonged. */
  readonly hosts: readonly string[]
}
