import { countFrom } from './countFrom.js'
import { LimitBound } from './LimitBound.js'
import type { LimitDemand } from './LimitDemand.js'
import type { LimitLog } from './LimitLog.js'
import type { LimitProcess } from './LimitProcess.js'
import type { RetryBounds } from './RetryBounds.js'

const windowMs = 10_000
/** Retries that a request asks for while endpoints fail. */
const retriesPerRequest = 5
const service = 'stock'
/** The defaults of the platform first. */
const levels: readonly RetryBounds[] = [
  { retryRatio: 0.2, retryWindowMs: windowMs, retrySlack: 50 },
  { retryRatio: 0.1, retryWindowMs: windowMs, retrySlack: 10 },
  { retryRatio: 0.3, retryWindowMs: windowMs, retrySlack: 0 },
  { retryRatio: 0, retryWindowMs: windowMs, retrySlack: 62 }
]

/** Retries of a service: `budget_ratio` x requests + `budget_slack` in each window of `budget_window_s`. */
export class RetryLimitBound extends LimitBound {
  override readonly name = 'retries'
  override readonly levels = levels.length
  override readonly durationMs = 45_000
  override readonly stepMs = 50

  override readRetryBounds (level: number): RetryBounds {
    return levels[level]!
  }

  override send ({ retries }: LimitProcess, { requests, isQuiet, nowMs }: LimitDemand): number {
    const wanted = isQuiet ? 0 : retriesPerRequest
    let sent = 0
    for (let request = 0; request < requests; request++) {
      retries.recordRequest(service, nowMs)
      for (let count = 0; count < wanted && retries.take(service, nowMs); count++) sent += 1
    }
    return sent
  }

  /**
   * Checks each window that begins with a retry. Its requests are those of the window, of the one before it or of the one half a
   * window before it, whichever has most: a retry counts with the requests that came before it. Of a limit that changes, the
   * largest of this time counts.
   */
  override findExcess (log: LimitLog): string | undefined {
    const times = log.sends.map(({ atMs }) => atMs)
    for (const startMs of new Set(times)) {
      const requests = Math.max(...[0, windowMs / 2, windowMs].map((shiftMs) => countFrom(log.requests, startMs - shiftMs, windowMs)))
      const bounds = log.listLevels(startMs - windowMs, startMs + windowMs).map((level) => levels[level]!)
      const allowed = Math.max(...bounds.map(({ retryRatio }) => retryRatio)) * requests + Math.max(...bounds.map(({ retrySlack }) => retrySlack))
      const sent = countFrom(times, startMs, windowMs)
      if (sent > allowed) return `${sent} retries in the ${windowMs} ms from ${startMs}, allowed ${allowed.toFixed(1)} for ${requests} requests`
    }
    return undefined
  }
}
