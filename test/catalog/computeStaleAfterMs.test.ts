import { test } from 'node:test'
import { expect } from 'earl'
import { computeStaleAfterMs } from '../../src/catalog/computeStaleAfterMs.js'

// Guards against a host that asks the store itself only when a change should be in force already (issue 44).
test('a copy counts as stale before the bound of its changes is over', () => {
  const bounds = { configApplyMs: 2_500, drainMs: 3_000 }
  expect([computeStaleAfterMs('orders', bounds), computeStaleAfterMs('endpoints', bounds), computeStaleAfterMs('hosts', bounds)]).toEqual([2_125, 2_550, 13_000])
})

// Guards against connections that fell silent and are noticed late where bounds are long.
test('a copy counts as stale after three seconds however long its bound', () => {
  const bounds = { configApplyMs: 60_000, drainMs: 60_000 }
  expect([computeStaleAfterMs('orders', bounds), computeStaleAfterMs('endpoints', bounds)]).toEqual([3_000, 3_000])
})
