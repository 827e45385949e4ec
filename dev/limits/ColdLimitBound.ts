import { countFrom } from './countFrom.js'
import { LimitBound } from './LimitBound.js'
import type { LimitDemand } from './LimitDemand.js'
import type { LimitLog } from './LimitLog.js'
import type { LimitProcess } from './LimitProcess.js'

const windowMs = 1_000
/** `cold_overshoot` and `cold_slack`. */
const overshoot = 1.5
const slack = 5
/** `cold_per_s` by level. */
const rates = [5, 1, 20]

/** Requests to a cold endpoint: `cold_per_s` x `cold_overshoot` + `cold_slack` in each second. */
export class ColdLimitBound extends LimitBound {
  override readonly name = 'cold'
  override readonly levels = rates.length
  override readonly durationMs = 20_000
  override readonly stepMs = 10

  override send ({ cold, endpoint }: LimitProcess, { requests, level, isQuiet, nowMs }: LimitDemand): number {
    if (isQuiet) return 0
    let sent = 0
    while (sent < requests && cold.take(endpoint.record.id, rates[level]!, nowMs)) sent += 1
    return sent
  }

  /** Of a limit that changes in a window, the largest counts. */
  override findExcess (log: LimitLog): string | undefined {
    const times = log.sends.map(({ atMs }) => atMs)
    for (const startMs of new Set(times)) {
      const perSecond = Math.max(...log.listLevels(startMs, startMs + windowMs).map((level) => rates[level]!))
      const allowed = perSecond * overshoot + slack
      const sent = countFrom(times, startMs, windowMs)
      if (sent > allowed) return `${sent} requests to a cold endpoint in the ${windowMs} ms from ${startMs}, allowed ${allowed}`
    }
    return undefined
  }
}
