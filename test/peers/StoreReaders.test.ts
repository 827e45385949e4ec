import { test } from 'node:test'
import { expect } from 'earl'
import { ManualClock } from '../../src/common/ManualClock.js'
import { catalogLimits } from '../../src/catalog/catalogLimits.js'
import { CatalogTable } from '../../src/catalog/CatalogTable.js'
import { StoreHealth } from '../../src/catalog/StoreHealth.js'
import { chooseReaders } from '../../src/peers/chooseReaders.js'
import type { HostRecord } from '../../src/peers/HostRecord.js'
import { peerLimits } from '../../src/peers/peerLimits.js'
import { PeerTable } from '../../src/peers/PeerTable.js'
import { StoreReaders } from '../../src/peers/StoreReaders.js'
import { createHeartbeat } from '../support/createHeartbeat.js'

const names = Array.from({ length: 10 }, (_value, index) => `host-${index}`)

function createRecord (name: string): HostRecord {
  return { name, zone: 'north-a', region: 'north', callerAddress: name, peerAddress: name, linkMbps: 0, incarnation: 1 }
}

/** Readers as seen by one of the ten hosts of a region. */
class StoreReadersFixture {
  readonly clock = new ManualClock()
  readonly peers: PeerTable
  readonly readers: StoreReaders

  constructor (self: string) {
    this.peers = new PeerTable(self)
    this.readers = new StoreReaders({ self: createRecord(self), peers: this.peers, health: new StoreHealth(), clock: this.clock, getStaleAfterMs: (table) => catalogLimits.staleAfterMs[table] })
  }

  /** Receives a heartbeat from each sender, with the given report about the store. */
  receiveHeartbeats (senders: readonly string[], storeAgeMs = 0, isStoreSettled = true): void {
    for (const name of senders) {
      const row = this.peers.receive(createHeartbeat(name, 1, { host: createRecord(name), storeAgeMs, isStoreSettled }), this.clock.nowMs())
      for (const table of Object.values(CatalogTable)) {
        if (storeAgeMs < 0) row?.tableContacts.delete(table)
        else row?.tableContacts.set(table, this.clock.nowMs() - storeAgeMs)
      }
    }
    this.clock.advance(150)
  }
}

const chosen = [...chooseReaders(names.map(createRecord), 2)]
const other = names.find((name) => !chosen.includes(name))!

// Guards against billed store calls from every host, and against a region in which no host reads the store.
test('two hosts of a region read the store', () => {
  expect(chosen.length).toEqual(2)
  for (const name of names) {
    const fixture = new StoreReadersFixture(name)
    fixture.receiveHeartbeats(names)
    expect(fixture.readers.shouldRead('endpoints')).toEqual(chosen.includes(name))
  }
})

// Guards against a region that receives no changes from the store after its readers died.
test('other hosts become readers when the readers send no heartbeats', () => {
  const fixture = new StoreReadersFixture(other)
  fixture.receiveHeartbeats(names)
  fixture.clock.advance(peerLimits.deadAfterMs)
  fixture.receiveHeartbeats(names.filter((name) => !chosen.includes(name)))
  const next = [...chooseReaders(names.filter((name) => !chosen.includes(name)).map(createRecord), 2)]
  expect(fixture.readers.shouldRead('endpoints')).toEqual(next.includes(other))
  expect(next.every((name) => fixture.readers.isReader(name))).toEqual(true)
})

// Guards against a store that rejects the readers but would serve the other hosts.
test('every host reads the store when no reader reaches it', () => {
  const fixture = new StoreReadersFixture(other)
  fixture.receiveHeartbeats(names, -1)
  expect(fixture.readers.shouldRead('endpoints')).toEqual(true)
})

// Guards against hosts that rely on readers for a table because these reach the store for other tables, or did so long ago.
test('a host reads a table itself when no reader has read it lately', () => {
  const fixture = new StoreReadersFixture(other)
  fixture.receiveHeartbeats(names)
  for (const name of chosen) fixture.peers.get(name)!.tableContacts.delete('orders')
  expect([fixture.readers.shouldRead('orders'), fixture.readers.shouldRead('endpoints')]).toEqual([true, false])
  fixture.receiveHeartbeats(names, catalogLimits.staleAfterMs.orders)
  expect([fixture.readers.shouldRead('orders'), fixture.readers.shouldRead('hosts')]).toEqual([true, false])
})

// Guards against hosts that don't read the store and treat lapsed entries as removed.
test('a host relies on the readers to detect an outage', () => {
  const fixture = new StoreReadersFixture(other)
  fixture.receiveHeartbeats(names, 0, false)
  expect(fixture.readers.isSettled(true)).toEqual(false)
  fixture.receiveHeartbeats(names, 0, true)
  expect(fixture.readers.isSettled(true)).toEqual(true)
})

// Guards against a reader that keeps endpoints that have left because only its own calls to the store fail (DRAIN).
test('a reader with trouble of its own relies on the other readers', () => {
  const fixture = new StoreReadersFixture(chosen[0]!)
  fixture.receiveHeartbeats(names, 0, true)
  expect([fixture.readers.shouldRead('endpoints'), fixture.readers.isSettled(false)]).toEqual([true, true])
  fixture.receiveHeartbeats([chosen[1]!], 0, false)
  expect(fixture.readers.isSettled(false)).toEqual(false)
  fixture.receiveHeartbeats(names, -1, true)
  expect(fixture.readers.isSettled(false)).toEqual(false)
})

// Guards against a copy that counts as complete though nobody has read its table, or although its own calls alone fail.
test('the age of a table is that of the latest call by any host', () => {
  const { readers, peers, clock } = new StoreReadersFixture(other)
  const row = peers.upsert(createRecord(chosen[0]!))!
  const before = readers.getTableAge('orders', clock.nowMs())
  row.tableContacts.set('orders', clock.nowMs() - 700)
  expect([before, readers.getTableAge('orders', clock.nowMs()), readers.getTableAge('endpoints', clock.nowMs())]).toEqual([Infinity, 700, Infinity])
})

// Guards against readers whose polls of the store end together.
test('the readers agree on their places', () => {
  const places = chosen.map((name) => {
    const fixture = new StoreReadersFixture(name)
    fixture.receiveHeartbeats(names)
    return fixture.readers.getPlace()
  })
  expect(places.map(({ index }) => index).sort()).toEqual([0, 1])
  expect(places.map(({ count }) => count)).toEqual([2, 2])
})

// Guards against copies that count as stale in calm because their proof comes from other regions, whose heartbeats are rare with many hosts (issue 41).
test('the polls of a region are spread whatever readers other regions have', () => {
  const createFar = (name: string): HostRecord => ({ ...createRecord(name), region: 'south' })
  const far = names.map((name) => `far-${name}`)
  const places = chosen.map((name) => {
    const fixture = new StoreReadersFixture(name)
    for (const each of far) fixture.peers.receive(createHeartbeat(each, 1, { host: createFar(each) }), fixture.clock.nowMs())
    fixture.receiveHeartbeats(names)
    return fixture.readers.getPlace()
  })
  expect(places.map(({ index, count }) => [index, count]).sort()).toEqual([[0, 2], [1, 2]])
})
