import { expect } from 'earl'
import { test } from 'node:test'
import { RetrySlackShare } from '../../src/budget/RetrySlackShare.js'

const startMs = 5_000
const windowMs = 10_000
const afterWindowMs = startMs + windowMs + 1_000

function createShare (countHosts: () => number | undefined): RetrySlackShare {
  return new RetrySlackShare({ startMs, readWindowMs: () => windowMs, countHosts })
}

// Guards against a share of the slack that each start of a host uses anew.
test('a process uses no slack until a window has passed since its start', () => {
  const share = createShare(() => 4)
  expect([startMs, afterWindowMs - 1, afterWindowMs].map((nowMs) => share.get(nowMs))).toEqual([0, 0, 0.25])
})

// Guards against a host that takes the whole slack because it has not heard of the others.
test('a host that doesn\'t know the other hosts uses no slack', () => {
  expect(createShare(() => undefined).get(afterWindowMs)).toEqual(0)
})
