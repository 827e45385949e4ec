import { expect } from 'earl'
import { test } from 'node:test'
import { EndpointTable } from '../../src/endpoints/EndpointTable.js'
import { createEndpoint } from '../support/createEndpoint.js'

const storeAvailable = { nowMs: 0, mayHaveLapsed: false }

function createTable (): EndpointTable {
  return new EndpointTable((zone) => zone.split('-')[0]!, () => 2_500)
}

// Guards against new requests to an endpoint that is draining or whose entry was removed.
test('draining and removed endpoints are not listed', () => {
  const table = createTable()
  table.update([createEndpoint('a'), createEndpoint('b')], storeAvailable)
  table.update([createEndpoint('a', { isDraining: true }), createEndpoint('b')], storeAvailable)
  expect(table.listService('stock').map((row) => row.record.id)).toEqual(['b'])
  table.update([createEndpoint('a', { isDraining: true })], storeAvailable)
  expect(table.listService('stock')).toEqual([])
})

// Guards against an outage of the store that removes all endpoints because their entries lapsed.
test('endpoints with lapsed entries are kept until the store has recovered for a while', () => {
  const table = createTable()
  table.update([createEndpoint('a')], storeAvailable)
  table.update([], { nowMs: 100, mayHaveLapsed: true })
  expect(table.listService('stock').length).toEqual(1)
  table.removeExpired({ nowMs: 200, mayHaveLapsed: true })
  expect(table.listService('stock').length).toEqual(1)
  table.removeExpired({ nowMs: 300, mayHaveLapsed: false })
  expect(table.listService('stock').length).toEqual(0)
})

// Guards against failures of an earlier incarnation that count against a new one.
test('an entry with the same id and another start time resets the endpoint', () => {
  const table = createTable()
  table.update([createEndpoint('a')], storeAvailable)
  table.get('a')!.failures = 5
  table.update([createEndpoint('a', { bornAtMs: 2, coldMs: 3_000 })], { nowMs: 1_000, mayHaveLapsed: false })
  expect(table.get('a')!.failures).toEqual(0)
  expect(table.get('a')!.coldUntilMs).toEqual(4_000)
})

// Guards against a registered endpoint whose second cold period is ignored.
test('a registered endpoint may become cold again', () => {
  const table = createTable()
  table.update([createEndpoint('a')], storeAvailable)
  table.update([createEndpoint('a', { coldMs: 2_000 })], { nowMs: 500, mayHaveLapsed: false })
  expect(table.get('a')!.coldUntilMs).toEqual(2_500)
})

// Guards against an undetected outage of the store, after which most entries are missing for a moment, and against keeping
// endpoints that really left until the drain time of 2.5 s is over.
test('endpoints whose entries disappear together are kept for a while', () => {
  const table = createTable()
  const ids = ['a', 'b', 'c', 'd', 'e', 'f']
  table.update(ids.map((id) => createEndpoint(id)), storeAvailable)
  table.update([createEndpoint('a')], { nowMs: 1_000, mayHaveLapsed: false })
  expect(table.listService('stock').length).toEqual(6)
  table.update(['a', 'b', 'c'].map((id) => createEndpoint(id)), { nowMs: 2_000, mayHaveLapsed: false })
  table.removeExpired({ nowMs: 2_400, mayHaveLapsed: false })
  expect(table.listService('stock').length).toEqual(6)
  table.removeExpired({ nowMs: 2_500, mayHaveLapsed: false })
  expect(table.listService('stock').map((row) => row.record.id)).toEqual(['a', 'b', 'c'])
})

// Guards against new requests to a single endpoint whose entry was removed.
test('an endpoint whose entry alone disappears is removed at once', () => {
  const table = createTable()
  table.update(['a', 'b', 'c', 'd', 'e', 'f'].map((id) => createEndpoint(id)), storeAvailable)
  table.update(['a', 'b', 'c', 'd', 'e'].map((id) => createEndpoint(id)), { nowMs: 1_000, mayHaveLapsed: false })
  expect(table.listService('stock').length).toEqual(5)
})

// Guards against logs that don't tell when and why a host stopped using an endpoint.
test('an update returns the endpoints that begin to leave', () => {
  const table = createTable()
  table.update(['a', 'b', 'c'].map((id) => createEndpoint(id)), storeAvailable)
  expect(table.update([createEndpoint('a', { isDraining: true }), createEndpoint('b')], storeAvailable)).toEqual([
    { id: 'a', isDraining: true, keptMs: 0 }, { id: 'c', isDraining: false, keptMs: 0 }
  ])
  expect(table.update([createEndpoint('a', { isDraining: true })], storeAvailable)).toEqual([{ id: 'b', isDraining: false, keptMs: 0 }])
})

// Guards against requests to an endpoint that wants none because its entry went and came back (issue 41).
test('what an incarnation announced holds when its entry comes back, and not for another incarnation', () => {
  const endpoints = new EndpointTable(() => 'north', () => 2_500)
  const records = ['e-0', 'e-1'].map((id) => createEndpoint(id))
  const update = (present: typeof records, nowMs: number): void => { endpoints.update(present, { nowMs, mayHaveLapsed: false }) }
  update(records, 0)
  endpoints.setLeaving(endpoints.get('e-0')!, 5)
  endpoints.get('e-1')!.announced.backoffUntilMs = 9_000
  update([], 10)
  update(records, 20)
  expect([endpoints.get('e-0')!.announced.leavingSinceMs, endpoints.get('e-1')!.announced.backoffUntilMs, endpoints.listService('stock').map((row) => row.record.id)]).toEqual([5, 9_000, ['e-1']])
  update([], 30)
  update(records.map((record) => ({ ...record, bornAtMs: 2 })), 40)
  expect(endpoints.listService('stock').map((row) => row.announced.backoffUntilMs)).toEqual([-Infinity, -Infinity])
})

// Guards against requests to a leaving endpoint after an entry with another start time stood in the place of its own (review/14, DRAIN).
test('what an incarnation announced holds when its entry replaces that of another one', () => {
  const endpoints = createTable()
  const update = (bornAtMs: number, nowMs: number): void => { endpoints.update([createEndpoint('a', { bornAtMs })], { nowMs, mayHaveLapsed: false }) }
  update(7, 0)
  endpoints.setLeaving(endpoints.get('a')!, 5)
  update(6, 10)
  expect(endpoints.get('a')!.announced.leavingSinceMs).toEqual(undefined)
  update(7, 20)
  expect([endpoints.get('a')!.announced.leavingSinceMs, endpoints.listService('stock')]).toEqual([5, []])
})
