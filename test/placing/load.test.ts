import { test } from 'node:test'
import { expect } from 'earl'
import { RequestKind } from '../../src/routing/RequestKind.js'
import { LoadSimulator } from './LoadSimulator.js'

/** A heavy load: it needs half of the slots when all objects are cached, and 1.7 times the slots when none is. */
const heavy = {
  endpoints: 22,
  slots: 6,
  objects: 46,
  cachedObjects: 26,
  uncachedServiceTimeMs: 880,
  cachedServiceTimeMs: 264,
  perSecond: 250,
  seconds: 20,
  objectiveMs: 600,
  timeoutMs: 1_500
}

// Guards against congestion collapse: every endpoint handles every object, so that no endpoint has its objects cached.
test('under a heavy load endpoints keep their objects cached', () => {
  const simulator = new LoadSimulator(heavy)
  const result = simulator.simulate((request, nowMs) => simulator.selector.choose(request, nowMs))
  expect(result.onTimeShare > 0.9).toEqual(true)
})

// Verifies that a policy without affinity cannot sustain this load.
test('a least-load policy without affinity collapses under the same load', () => {
  const simulator = new LoadSimulator(heavy)
  const result = simulator.simulate(() => [...simulator.endpoints].filter((row) => row.inFlight < 15).sort((a, b) => a.inFlight - b.inFlight)[0])
  expect(result.onTimeShare < 0.5).toEqual(true)
})

// Guards against callers that wait for responses that can't be on time, while the load exceeds the capacity of the slots.
test('excess requests are refused at once and the others are served in time', () => {
  const simulator = new LoadSimulator({ ...heavy, perSecond: 700 })
  const result = simulator.simulate((request, nowMs) => simulator.selector.choose(request, nowMs))
  expect(result.refusedShare > 0.2).toEqual(true)
  expect(result.slowestMs <= heavy.timeoutMs).toEqual(true)
  // The slots can serve 500 of the 700 requests per second when all objects are cached.
  expect(result.onTimeShare > 0.5).toEqual(true)
})

/** A moderate load of two kinds of requests for the same objects; each endpoint caches a few objects for a kind. */
const twoKinds = {
  endpoints: 28,
  slots: 3,
  objects: 80,
  kinds: [RequestKind.idempotent, RequestKind.once],
  cachedObjects: 12,
  uncachedServiceTimeMs: 700,
  cachedServiceTimeMs: 210,
  perSecond: 120,
  seconds: 20,
  objectiveMs: 500,
  timeoutMs: 1_500
}

// Guards against endpoints that are taken to know an object from a request of another kind, or that handle more objects than they cache.
test('two kinds of requests for the same objects are served in time', () => {
  const simulator = new LoadSimulator(twoKinds)
  const result = simulator.simulate((request, nowMs) => simulator.selector.choose(request, nowMs))
  expect([result.onTimeShare > 0.9, result.refusedShare]).toEqual([true, 0])
})
