import { expect } from 'earl'
import { test } from 'node:test'
import { LocalShares } from '../../src/placing/LocalShares.js'

/** Largest share of a region's requests that may move to another region within 2 s. */
const maxShift = 0.15

// Guards against a step in demand that moves many requests to other regions at once.
test('a share changes at a limited rate', () => {
  const shares = new LocalShares()
  shares.moveToward('stock', 1, 1, 0)
  for (let nowMs = 100; nowMs <= 2_000; nowMs += 100) shares.moveToward('stock', 0, 1, nowMs)
  expect(shares.get('stock') >= 1 - maxShift).toEqual(true)
  expect(shares.get('stock') < 1).toEqual(true)
})
