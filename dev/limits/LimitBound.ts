import type { LimitDemand } from './LimitDemand.js'
import type { LimitLog } from './LimitLog.js'
import type { LimitProcess } from './LimitProcess.js'
import type { RetryBounds } from './RetryBounds.js'

/** A bound for the whole system: how hosts use it, and its rule. */
export abstract class LimitBound {
  abstract readonly name: string
  /** Number of levels that the limit may have. */
  abstract readonly levels: number
  /** Time in ms of a run: events, and the windows after them. */
  abstract readonly durationMs: number
  /** Time in ms between two looks of a host for a permit; longer ones hide permits that a host loses meanwhile. */
  abstract readonly stepMs: number

  /** Lets a host send what it wants and may send; returns the number sent. */
  abstract send (process: LimitProcess, demand: LimitDemand): number

  /** Returns a description of the first window in which all hosts together exceeded the rule; undefined when none did. */
  abstract findExcess (log: LimitLog): string | undefined

  /** Returns the bounds on retries at a level. */
  readRetryBounds (_level: number): RetryBounds {
    return { retryRatio: 0.2, retryWindowMs: 10_000, retrySlack: 50 }
  }

  /** Returns what the endpoint names in its responses at a level; undefined for no limit. */
  getNamedRate (_level: number): number | undefined {
    return undefined
  }
}
