import { countFrom } from './countFrom.js'
import { LimitBound } from './LimitBound.js'
import type { LimitDemand } from './LimitDemand.js'
import type { LimitLog } from './LimitLog.js'
import type { LimitProcess } from './LimitProcess.js'

const windowMs = 4_000
const overshoot = 1.5
const slack = 5
/** Time in ms before a window in which a limit that was named may still be in use, as the rule gives hosts half a second. */
const newsMs = 500
/** Named rates in requests a second by level; undefined for none. */
const rates: ReadonlyArray<number | undefined> = [7, 1, 40, 0, undefined]

/** Requests to an endpoint that names a rate: 1.5 x the rate x 4 s + 5 in each 4 s, of hosts that have passed on such a response. */
export class NamedLimitBound extends LimitBound {
  override readonly name = 'named'
  override readonly levels = rates.length
  // A host that is cut off counts as a sender for 30 s.
  override readonly durationMs = 45_000
  override readonly stepMs = 50

  override getNamedRate (level: number): number | undefined {
    return rates[level]
  }

  override send ({ named, endpoint }: LimitProcess, { requests, isQuiet, nowMs }: LimitDemand): number {
    if (isQuiet) return 0
    const perSecond = endpoint.announced.rateLimit?.perSecond
    if (perSecond === undefined) return requests
    let sent = 0
    while (sent < requests && named.take(endpoint.record.id, perSecond, nowMs)) sent += 1
    return sent
  }

  /** Of a limit that changes in a window or shortly before it, the largest counts; nothing is bounded while there was none. */
  override findExcess (log: LimitLog): string | undefined {
    const times = log.sends.filter(({ isCounted }) => isCounted).map(({ atMs }) => atMs)
    for (const startMs of new Set(times)) {
      const perSecond = Math.max(...log.listLevels(startMs - newsMs, startMs + windowMs).map((level) => rates[level] ?? Infinity))
      const allowed = overshoot * perSecond * windowMs / 1_000 + slack
      const sent = countFrom(times, startMs, windowMs)
      if (sent > allowed) return `${sent} requests to an endpoint that names ${perSecond} a second in the ${windowMs} ms from ${startMs}, allowed ${allowed}`
    }
    return undefined
  }
}
