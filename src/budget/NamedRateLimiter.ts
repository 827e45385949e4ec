import { SharedRateLimiter } from './SharedRateLimiter.js'

/** Rate in requests a second that is used of any lower limit, also of 0, since only a response shows that a limit has ended. */
const minPerSecond = 0.25

/** Bound that all hosts keep together: a window may hold `overshoot` times the requests of the limit, and `slack` more. */
const windowSeconds = 4
const overshoot = 1.5
const slack = 5

/** Part of what the bound leaves beside the limit itself that senders may keep as unused permits; each sender keeps at least one. */
const burstShare = 0.8

/** Limits the requests to endpoints that name in their responses how many a second they take from all hosts together. */
export class NamedRateLimiter extends SharedRateLimiter {
  protected override countSenders (perSecond: number): number {
    return Math.max(1, Math.floor(computeBurst(perSecond)))
  }

  protected override computeCapacity (perSecond: number, senders: number): number {
    return Math.max(1, computeBurst(perSecond) / senders)
  }

  protected override computeIntervalMs (perSecond: number, senders: number): number {
    return 1_000 * senders / Math.max(minPerSecond, perSecond)
  }
}

/** Returns the number of requests that all senders together may send at once. */
function computeBurst (perSecond: number): number {
  return burstShare * ((overshoot - 1) * windowSeconds * perSecond + slack)
}
