import { test } from 'node:test'
import { expect } from 'earl'
import { EndpointTable } from '../../src/endpoints/EndpointTable.js'
import { AffinityRanking } from '../../src/placing/AffinityRanking.js'
import { createEndpoint } from '../support/createEndpoint.js'

const endpointCount = 20
const objects = Array.from({ length: 4_000 }, (_value, index) => `object-${index}`)
const ids = Array.from({ length: endpointCount }, (_value, index) => `i-${(index * 7_919).toString(16)}`)

/** Returns the first endpoint in the ranking of each object. */
function listHomes (present: readonly string[]): string[] {
  const table = new EndpointTable(() => 'north', () => 2_500)
  table.update(present.map((id) => createEndpoint(id)), { nowMs: 0, mayHaveLapsed: false })
  const ranking = new AffinityRanking()
  return objects.map((object) => ranking.rank('stock', object, table.listService('stock'), table.generation)[0]!.record.id)
}

// Guards against endpoints that receive far more objects than others.
test('objects spread evenly over endpoints', () => {
  const counts = new Map<string, number>()
  for (const home of listHomes(ids)) counts.set(home, (counts.get(home) ?? 0) + 1)
  const mean = objects.length / endpointCount
  expect([...counts.values()].every((count) => count > 0.7 * mean && count < 1.3 * mean)).toEqual(true)
  expect(counts.size).toEqual(endpointCount)
})

// Guards against hosts that send an object to different endpoints because the entries of their tables are in different orders.
test('a ranking does not depend on the order of the registry entries', () => {
  expect(listHomes([...ids].reverse())).toEqual(listHomes(ids))
})

// Guards against a change of one endpoint that moves the objects of other endpoints.
test('only the objects of a removed endpoint move, and they move to all others', () => {
  const before = listHomes(ids)
  const after = listHomes(ids.slice(1))
  const moved = after.filter((home, index) => home !== before[index])
  expect(before.every((home, index) => home === ids[0] || home === after[index])).toEqual(true)
  expect(new Set(moved).size).toEqual(endpointCount - 1)
})

// Guards against rankings that are recomputed for each request while entries change without affecting the set of endpoints.
test('the generation changes only with the set of listed endpoints', () => {
  const table = new EndpointTable(() => 'north', () => 2_500)
  const update = (change: Parameters<typeof createEndpoint>[1]): number => {
    table.update([createEndpoint('a'), createEndpoint('b', change)], { nowMs: 0, mayHaveLapsed: false })
    return table.generation
  }
  const first = update({})
  expect([update({ coldMs: 2_000 }), update({ coldMs: 1_000 })]).toEqual([first, first])
  const drained = update({ isDraining: true })
  expect([drained > first, table.listService('stock').length]).toEqual([true, 1])
  expect([update({}) > drained, table.listService('stock').length]).toEqual([true, 2])
})

// Guards against cached rankings that fill the heap of a host, because their number is bounded and their length is not.
test('the rankings of many endpoints stay inside the memory of a host', () => {
  const table = new EndpointTable(() => 'north', () => 2_500)
  table.update(Array.from({ length: 5_000 }, (_value, index) => createEndpoint(`i-${index}`)), { nowMs: 0, mayHaveLapsed: false })
  const ranking = new AffinityRanking()
  const rows = table.listService('stock')
  let largest = 0
  for (let index = 0; index < 450; index++) {
    ranking.rank('stock', `object-${index}`, rows, table.generation)
    largest = Math.max(largest, ranking.cachedRows)
  }
  // 60 MB at 8 bytes an endpoint, with as much again for what surrounds the lists.
  expect(largest * 16 <= 60_000_000).toEqual(true)
})
