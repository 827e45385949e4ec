import { expect } from 'earl'
import { test } from 'node:test'
import { RetryAllowance } from '../../src/budget/RetryAllowance.js'

const startMs = 5_000
const windowMs = 10_000
const afterWindowMs = startMs + windowMs + 1_000

function createAllowance (countHosts: () => number | undefined, processStartMs = startMs): RetryAllowance {
  return new RetryAllowance({ startMs: processStartMs, readWindowMs: () => windowMs, countHosts })
}

// Guards against shares of the budget that each start of a host uses anew.
test('a restarted process and the one before it use at most the whole ratio and one share of the slack', () => {
  const allowance = createAllowance(() => 4)
  const steady = allowance.get(afterWindowMs)
  expect(steady).toEqual({ ofRatio: 0.8, ofSlack: 0.2 })
  for (const nowMs of [startMs, afterWindowMs - 1]) {
    const { ofRatio, ofSlack } = allowance.get(nowMs)
    expect([steady.ofRatio + ofRatio < 1, ofSlack]).toEqual([true, 0])
  }
})

// Guards against a deployment that can't retry in its first seconds although no process has used anything.
test('the first process of a host uses its shares at once', () => {
  expect(createAllowance(() => 4, -Infinity).get(0)).toEqual({ ofRatio: 0.8, ofSlack: 0.2 })
})

// Guards against a host that takes the whole slack because it has not heard of the others.
test('a host that doesn\'t know the other hosts uses no slack', () => {
  expect(createAllowance(() => undefined).get(afterWindowMs).ofSlack).toEqual(0)
})
