/** Size and seed of one run of the soak. */
export interface SoakOptions {
  readonly seed: number
  /** Time in s during which faults are injected. */
  readonly seconds: number
  readonly hosts: number
  /** Addresses at which endpoints run. */
  readonly endpoints: number
  readonly callers: number
  /** Faults that are under way at the same time, in the mean. */
  readonly overlap: number
}
