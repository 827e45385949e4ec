import { expect } from 'earl'
import fc from 'fast-check'
import { test } from 'node:test'
import { ColdStartRateLimiter } from '../../src/budget/ColdStartRateLimiter.js'

const perSecond = 5
/** Bound on the requests to a cold endpoint in any second across all hosts: rate x 1.5 + 5. */
const bound = perSecond * 1.5 + 5

// Guards against a cold endpoint that crashes because every host sends requests to it.
test('all hosts together stay within the rate of a cold endpoint', () => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 30 }), fc.integer({ min: 1, max: 997 }), (hosts, stepMs) => {
    const names = Array.from({ length: hosts }, (_value, index) => `host-${index}`)
    const budgets = names.map((name) => new ColdStartRateLimiter(name, () => names))
    const sent: number[] = []
    for (let nowMs = 0; nowMs < 4_000; nowMs += stepMs) {
      for (const budget of budgets) if (budget.take('e', perSecond, nowMs)) sent.push(nowMs)
    }
    return sent.every((startMs) => sent.filter((ms) => ms >= startMs && ms < startMs + 1_000).length <= bound)
  }), { numRuns: 50 })
})

// Guards against requests to a cold endpoint that is to get none, and against refusals where the configuration sets no rate.
test('a rate of 0 allows no request and an infinite one all', () => {
  const limiter = new ColdStartRateLimiter('a', () => ['a'])
  expect([limiter.take('none', 0, 0), limiter.take('none', 0, 10_000)]).toEqual([false, false])
  expect(Array.from({ length: 5 }, () => limiter.take('all', Infinity, 0))).toEqual([true, true, true, true, true])
})

// Guards against a cold endpoint that receives requests from no host.
test('three hosts may send to a cold endpoint', () => {
  const names = ['a', 'b', 'c', 'd', 'e']
  const senders = names.filter((name) => new ColdStartRateLimiter(name, () => names).take('endpoint', perSecond, 0))
  expect(senders.length).toEqual(3)
})
