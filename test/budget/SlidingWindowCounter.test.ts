import { expect } from 'earl'
import { test } from 'node:test'
import { SlidingWindowCounter } from '../../src/budget/SlidingWindowCounter.js'

// Guards against events that never leave the window or leave it too early.
test('only events of the last window are counted', () => {
  const counter = new SlidingWindowCounter(1_000)
  counter.add(100)
  counter.add(600, 3)
  expect(counter.count(900)).toEqual(4)
  expect(counter.count(1_200)).toEqual(3)
  expect(counter.count(5_000)).toEqual(0)
  counter.add(5_000)
  expect(counter.count(5_000)).toEqual(1)
})
