import { expect } from 'earl'
import fc from 'fast-check'
import { test } from 'node:test'
import { computeLocalShare } from '../../src/placing/computeLocalShare.js'

// Guards against a small region that keeps all of its requests while others have spare capacity.
test('a region with too few slots sends requests to other regions', () => {
  const loads = [{ region: 'small', demand: 60, slots: 12 }, { region: 'large', demand: 60, slots: 120 }]
  expect(computeLocalShare('small', loads, 0.6) < 0.5).toEqual(true)
  expect(computeLocalShare('large', loads, 0.6)).toEqual(1)
})

// Guards against cross-region requests at low utilization.
test('a region keeps more requests at low utilization', () => {
  const loads = [{ region: 'small', demand: 60, slots: 12 }, { region: 'large', demand: 60, slots: 60 }]
  expect(computeLocalShare('small', loads, 0.1) > computeLocalShare('small', loads, 0.6)).toEqual(true)
})

// Guards against results outside the range of a share for any input.
test('a share is between 0 and 1', () => {
  const load = fc.record({
    region: fc.constantFrom('a', 'b', 'c'),
    demand: fc.double({ min: 0, max: 1e6, noNaN: true }),
    slots: fc.integer({ min: 0, max: 1_000 })
  })
  fc.assert(fc.property(
    fc.uniqueArray(load, { selector: ({ region }) => region }),
    fc.double({ min: 0, max: 1, noNaN: true }),
    (loads, utilization) => {
      const share = computeLocalShare('a', loads, utilization)
      return share >= 0 && share <= 1
    }
  ))
})
