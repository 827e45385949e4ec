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

// Guards against a cold endpoint that receives requests from no host.
test('three hosts may send to a cold endpoint', () => {
  const names = ['a', 'b', 'c', 'd', 'e']
  const senders = names.filter((name) => new ColdStartRateLimiter(name, () => names).take('endpoint', perSecond, 0))
  expect(senders.length).toEqual(3)
})
