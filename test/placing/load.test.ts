import { test } from 'node:test'
import { expect } from 'earl'
import { LoadSimulator } from './LoadSimulator.js'

/** A heavy day's load: with all objects known it fills half of the slots, with all of them new 1.7 times as many. */
const heavy = {
  endpoints: 22, slots: 6, objects: 46, cachedObjects: 26, uncachedServiceTimeMs: 880, cachedServiceTimeMs: 264, perSecond: 250, seconds: 20, objectiveMs: 600, timeoutMs: 1_500
}

// Guards against the collapse in which every endpoint works for every object and none remembers its own.
test('under a heavy load endpoints stay familiar with their objects', () => {
  const simulator = new LoadSimulator(heavy)
  const result = simulator.simulate((request, nowMs) => simulator.selector.choose(request, nowMs))
  expect(result.onTimeShare > 0.9).toEqual(true)
})

// Shows that the load is one that a policy without objects can't carry.
test('least load alone collapses under the same load', () => {
  const simulator = new LoadSimulator(heavy)
  const result = simulator.simulate(() => [...simulator.endpoints].filter((row) => row.inFlight < 15).sort((a, b) => a.inFlight - b.inFlight)[0])
  expect(result.onTimeShare < 0.5).toEqual(true)
})

// Guards against callers that wait for what can't be answered in time while the load is more than the slots can do.
test('an overload is refused at once and the rest is answered in time', () => {
  const simulator = new LoadSimulator({ ...heavy, perSecond: 700 })
  const result = simulator.simulate((request, nowMs) => simulator.selector.choose(request, nowMs))
  expect(result.refusedShare > 0.2).toEqual(true)
  expect(result.slowestMs <= heavy.timeoutMs).toEqual(true)
  // The slots can do 500 of the 700 requests a second when all objects are known.
  expect(result.onTimeShare > 0.5).toEqual(true)
})
