import { expect } from 'earl'
import { test } from 'node:test'
import { EndpointTable } from '../../src/endpoints/EndpointTable.js'
import { createEndpoint } from '../support/createEndpoint.js'

const calm = { nowMs: 0, mayHaveLapsed: false }

function createTable (): EndpointTable {
  return new EndpointTable((zone) => zone.split('-')[0]!)
}

// Guards against new work for an endpoint that has said that it leaves or whose entry was removed.
test('leaving endpoints are not listed', () => {
  const table = createTable()
  table.update([createEndpoint('a'), createEndpoint('b')], calm)
  table.update([createEndpoint('a', { isDraining: true }), createEndpoint('b')], calm)
  expect(table.listService('stock').map((row) => row.record.id)).toEqual(['b'])
  table.update([createEndpoint('a', { isDraining: true })], calm)
  expect(table.listService('stock')).toEqual([])
})

// Guards against an outage of the store that takes all endpoints away because their entries lapsed.
test('lapsed entries are kept until the store has been back for a while', () => {
  const table = createTable()
  table.update([createEndpoint('a')], calm)
  table.update([], { nowMs: 100, mayHaveLapsed: true })
  expect(table.listService('stock').length).toEqual(1)
  table.expireMissing({ nowMs: 200, mayHaveLapsed: true })
  expect(table.listService('stock').length).toEqual(1)
  table.expireMissing({ nowMs: 300, mayHaveLapsed: false })
  expect(table.listService('stock').length).toEqual(0)
})

// Guards against counts of an earlier incarnation that hold for one that knows nothing of them.
test('another birth makes a new endpoint of the same id', () => {
  const table = createTable()
  table.update([createEndpoint('a')], calm)
  table.get('a')!.failures = 5
  table.update([createEndpoint('a', { bornAtMs: 2, coldMs: 3_000 })], { nowMs: 1_000, mayHaveLapsed: false })
  expect(table.get('a')!.failures).toEqual(0)
  expect(table.get('a')!.coldUntilMs).toEqual(4_000)
})

// Guards against an endpoint that becomes cold again while it stays registered.
test('a registered endpoint may become cold again', () => {
  const table = createTable()
  table.update([createEndpoint('a')], calm)
  table.update([createEndpoint('a', { coldMs: 2_000 })], { nowMs: 500, mayHaveLapsed: false })
  expect(table.get('a')!.coldUntilMs).toEqual(2_500)
})

// Guards against an outage that no call noticed, after which most entries are missing for a moment.
test('many entries that vanish together are kept for a while', () => {
  const table = createTable()
  const ids = ['a', 'b', 'c', 'd', 'e', 'f']
  table.update(ids.map((id) => createEndpoint(id)), calm)
  table.update([createEndpoint('a')], { nowMs: 1_000, mayHaveLapsed: false })
  expect(table.listService('stock').length).toEqual(6)
  table.update(['a', 'b', 'c'].map((id) => createEndpoint(id)), { nowMs: 2_000, mayHaveLapsed: false })
  table.expireMissing({ nowMs: 2_900, mayHaveLapsed: false })
  expect(table.listService('stock').length).toEqual(6)
  table.expireMissing({ nowMs: 3_000, mayHaveLapsed: false })
  expect(table.listService('stock').map((row) => row.record.id)).toEqual(['a', 'b', 'c'])
})

// Guards against new work for a single endpoint whose entry was removed.
test('a single entry that vanishes is gone at once', () => {
  const table = createTable()
  table.update(['a', 'b', 'c', 'd', 'e', 'f'].map((id) => createEndpoint(id)), calm)
  table.update(['a', 'b', 'c', 'd', 'e'].map((id) => createEndpoint(id)), { nowMs: 1_000, mayHaveLapsed: false })
  expect(table.listService('stock').length).toEqual(5)
})
