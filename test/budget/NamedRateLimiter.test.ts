import { expect } from 'earl'
import fc from 'fast-check'
import { test } from 'node:test'
import { NamedRateLimiter } from '../../src/budget/NamedRateLimiter.js'
import { createRandom } from '../model/createRandom.js'

const windowMs = 4_000

function createLimiters (count: number): NamedRateLimiter[] {
  const names = Array.from({ length: count }, (_value, index) => `host-${index}`)
  return names.map((name) => new NamedRateLimiter(name, () => names))
}

/** Lists the times at which requests are sent when every host wants to send in each step. */
function send (limiters: readonly NamedRateLimiter[], getLimit: (nowMs: number) => number, stepMs: number, endMs: number): number[] {
  const sent: number[] = []
  for (let nowMs = 0; nowMs < endMs; nowMs += stepMs) {
    for (const limiter of limiters) if (limiter.take('e', getLimit(nowMs), nowMs)) sent.push(nowMs)
  }
  return sent
}

/** Lists times of independent requests at a mean rate. */
function listArrivals (perSecond: number, endMs: number, random: () => number): number[] {
  const times: number[] = []
  for (let atMs = 0; atMs < endMs;) {
    atMs -= Math.log(1 - random()) * 1_000 / perSecond
    times.push(atMs)
  }
  return times
}

// Guards against an endpoint in need that gets more than its limit since each host alone keeps it, and against one that is left idle.
test('all hosts together keep a named limit and use it', () => {
  fc.assert(fc.property(
    fc.integer({ min: 1, max: 40 }),
    fc.oneof(fc.constant(0), fc.double({ min: 0, max: 60, noNaN: true })),
    fc.integer({ min: 5, max: 230 }),
    (hosts, perSecond, stepMs) => {
      const limiters = createLimiters(hosts)
      const sent = send(limiters, () => perSecond, stepMs, 20_000)
      const allowed = 1.5 * perSecond * windowMs / 1_000 + 5
      for (const startMs of sent) if (sent.filter((ms) => ms >= startMs && ms < startMs + windowMs).length > allowed) return false
      // A host that looks only every `stepMs` sends up to that much later than it may.
      const slowdown = 1 + stepMs * perSecond / 1_000
      return sent.length >= 0.9 * 20 * perSecond / slowdown
    }
  ), { numRuns: 150 })
})

// Guards against an endpoint that stays below its limit, although more is wanted, since a permit is lost while no request waits.
test('a limit is used when requests arrive at random', () => {
  const limiters = createLimiters(7)
  const perSecond = 4.6
  const random = createRandom(7)
  const arrivals = limiters.flatMap((limiter) => listArrivals(3 * perSecond / limiters.length, 200_000, random).map((atMs) => ({ atMs, limiter })))
  const sent = arrivals.sort((a, b) => a.atMs - b.atMs).filter(({ atMs, limiter }) => limiter.take('e', perSecond, atMs))
  expect(sent.length >= 0.9 * 200 * perSecond).toEqual(true)
})

// Guards against a long wait after a limit that was very low.
test('a higher limit holds at once', () => {
  const [limiter] = createLimiters(1)
  const sent = send([limiter!], (nowMs) => nowMs < 1_000 ? 0 : 10, 10, 2_000)
  expect([sent.filter((ms) => ms < 1_000).length, sent.filter((ms) => ms >= 1_000).length]).toEqual([1, 10])
})

// Guards against an endpoint whose limit of 0 is never found to have ended.
test('a limit of 0 lets a request through now and then', () => {
  expect(send(createLimiters(3), () => 0, 100, 60_000).length >= 10).toEqual(true)
})
