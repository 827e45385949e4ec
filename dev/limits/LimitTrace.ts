import type { LimitEvent } from './LimitEvent.js'

/** Input of one run; the same trace always leads to the same run. */
export interface LimitTrace {
  /** Number of hosts at the start. */
  readonly hosts: number
  /** Level of the bound's limit at the start. */
  readonly level: number
  /** Seed of the lost heartbeats. */
  readonly seed: number
  readonly durationMs: number
  /** Events in the order of their times. */
  readonly events: readonly LimitEvent[]
}
