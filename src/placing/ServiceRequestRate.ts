import { SlidingWindowCounter } from '../budget/SlidingWindowCounter.js'

/** Time in ms over which the rate is averaged. */
const windowMs = 4_000

/** Measures the requests per second that this host receives for each service. */
export class ServiceRequestRate {
  private readonly counters = new Map<string, SlidingWindowCounter>()
  private readonly startMs: number

  constructor (nowMs: number) {
    this.startMs = nowMs
  }

  recordRequest (service: string, nowMs: number): void {
    const counter = this.counters.get(service) ?? new SlidingWindowCounter(windowMs)
    this.counters.set(service, counter)
    counter.add(nowMs)
  }

  list (nowMs: number): Array<readonly [service: string, perSecond: number]> {
    const spanMs = Math.max(1_000, Math.min(windowMs, nowMs - this.startMs))
    return [...this.counters].map(([service, counter]) => [service, counter.count(nowMs) * 1_000 / spanMs] as const)
  }
}
