import { expect } from 'earl'
import { test } from 'node:test'
import { ServiceTimes } from '../../src/placing/ServiceTimes.js'
import { createRoute } from '../support/createRoute.js'

const route = createRoute({ objectiveMs: 500 })

// Guards against a host that sends new objects anywhere until it has measured how much longer they take.
test('a new object is expected to take longer before anything has been measured', () => {
  const times = new ServiceTimes()
  expect([times.expect(route, true) < times.expect(route, false), times.expect(route, false)]).toEqual([true, 500])
})

// Guards against one mean over routes and objects whose work differs several times.
test('times are learned for each route, and apart for known and new objects', () => {
  const times = new ServiceTimes()
  const other = createRoute({ name: 'r-2', objectiveMs: 500 })
  for (let count = 0; count < 200; count++) {
    times.record(route, true, 100)
    times.record(route, false, 700)
  }
  expect([times.expect(route, true), times.expect(route, false)].map(Math.round)).toEqual([100, 700])
  expect(times.expect(other, false)).toEqual(500)
})

// Guards against preferring endpoints that don't know an object, after a few of them happened to be fast.
test('a new object is never expected to take less than a known one', () => {
  const times = new ServiceTimes()
  for (let count = 0; count < 200; count++) {
    times.record(route, true, 300)
    times.record(route, false, 100)
  }
  expect(times.expect(route, false)).toEqual(times.expect(route, true))
})
