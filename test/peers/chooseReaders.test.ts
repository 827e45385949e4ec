import { test } from 'node:test'
import { expect } from 'earl'
import { chooseReaders } from '../../src/peers/chooseReaders.js'

const createHosts = (linksMbps: readonly number[]): Array<{ name: string, region: string, linkMbps: number }> =>
  linksMbps.map((linkMbps, index) => ({ name: `host-${index}`, region: 'north', linkMbps }))

// Guards against changes that reach a region late because hosts on narrow links pass them on (issue 41).
test('hosts on wide links read the store', () => {
  expect([...chooseReaders(createHosts([10, 10, 200, 10, 140, 10]), 2)].sort()).toEqual(['host-2', 'host-4'])
})

// Guards against a region without a second reader because only one of its hosts has a wide link.
test('hosts on narrow links read the store where too few have wide ones', () => {
  const readers = chooseReaders(createHosts([10, 200, 10]), 2)
  expect([readers.size, readers.has('host-1')]).toEqual([2, true])
})

test('all hosts may be chosen where no link is known', () => {
  expect(chooseReaders(createHosts([0, 0, 0]), 2).size).toEqual(2)
})
