import { test } from 'node:test'
import { expect } from 'earl'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { Registry } from 'prom-client'
import { Catalog } from '../../src/catalog/Catalog.js'
import type { CatalogPage } from '../../src/catalog/CatalogPage.js'
import { createFailure } from '../../src/common/createFailure.js'
import type { Failure } from '../../src/common/Failure.js'
import { ManualClock } from '../../src/common/ManualClock.js'
import { pageCodec } from '../../src/peers/pageCodec.js'
import { peerLimits } from '../../src/peers/peerLimits.js'
import { PeerTable } from '../../src/peers/PeerTable.js'
import { PeerTraffic } from '../../src/peers/PeerTraffic.js'
import { TableFetcher } from '../../src/peers/TableFetcher.js'
import type { Message } from '../../src/wire/Message.js'
import { createHeartbeat } from '../support/createHeartbeat.js'
import { MemoryLogger } from '../support/MemoryLogger.js'

const whole: CatalogPage = { era: 1, version: 7, rows: [{ key: 'z', version: 7, entry: { kind: 'evacuation', zone: 'z' } }] }

/** Builds the reply with a part of a page, by default all of it. */
function createPart (part: Buffer, totalBytes = part.length): Message {
  return { t: 'page', pageId: 'p', totalBytes, part }
}

/** A host without a copy of its tables, and peers that have the orders. */
class FetcherFixture {
  readonly clock = new ManualClock()
  readonly catalog = new Catalog(() => {})
  readonly logger = new MemoryLogger()
  /** Addresses that were asked for the orders, in turn. */
  readonly asked: string[] = []
  isReader = false
  reply: (message: Message) => Promise<Result<Message, Failure>> = async () => ok(createPart(pageCodec.encode(whole)))
  readonly fetcher: TableFetcher
  private readonly peers = new PeerTable('self')

  constructor () {
    this.fetcher = new TableFetcher({
      region: 'north',
      catalog: this.catalog,
      peers: this.peers,
      clock: this.clock,
      logger: this.logger,
      traffic: new PeerTraffic(new Registry(), this.clock),
      random: () => 0,
      isReader: () => this.isReader,
      request: async (address, message) => {
        this.asked.push(address)
        return await this.reply(message)
      },
      onRejected: (reason) => this.logger.warn(reason),
      onFetched: () => {}
    })
  }

  /** Receives a heartbeat of a host whose copy of the orders has version 7. */
  hear (name: string, region = 'north'): void {
    const host = { ...createHeartbeat(name, 1).host, region, peerAddress: name }
    this.peers.receive(createHeartbeat(name, 1, { host, versions: { orders: 7, endpoints: -1, hosts: -1 } }), this.clock.nowMs())
  }

  /** Runs the fetches that are due and waits until they have ended. */
  async run (): Promise<void> {
    this.fetcher.run(this.clock.nowMs())
    await new Promise((resolve) => setImmediate(resolve))
  }
}

// Guards against a table that is sent by each host that has it, which fills the link of the host that lacks it (issue 41).
test('a table is fetched from one host however many have it', async () => {
  const fixture = new FetcherFixture()
  fixture.reply = async () => await new Promise(() => {})
  for (let index = 0; index < 30; index++) {
    fixture.hear(`host-${index}`)
    await fixture.run()
  }
  expect(fixture.asked.length).toEqual(1)
})

// Guards against a host that asks again for what it has.
test('a host that has fetched a table asks nobody for it', async () => {
  const fixture = new FetcherFixture()
  fixture.hear('b')
  for (let round = 0; round < 3; round++) await fixture.run()
  expect([fixture.asked, fixture.catalog.versionOf('orders')]).toEqual([['b'], 7])
})

// Guards against a failed transfer that is repeated at once with the same contents, which keeps full links full (issue 41).
test('a fetch that failed is repeated at another host after a growing pause', async () => {
  const fixture = new FetcherFixture()
  fixture.reply = async () => err(createFailure('peerTimeout'))
  fixture.hear('b')
  fixture.hear('c')
  for (let ms = 0; ms < 1_000; ms += 10) {
    await fixture.run()
    fixture.clock.advance(10)
  }
  expect([fixture.asked.slice(0, 2), fixture.asked.length < 10]).toEqual([['b', 'c'], true])
})

// Guards against distant hosts that serve a table although one of the region has it.
test('hosts of the region are asked first', async () => {
  const fixture = new FetcherFixture()
  fixture.hear('far', 'south')
  fixture.hear('near')
  await fixture.run()
  expect(fixture.asked).toEqual(['near'])
})

// Guards against all hosts of a region that fetch a change from the first host of another one, whose link then delays each of them (issue 44).
test('a host with a copy waits for its own region before it asks another one', async () => {
  const fixture = new FetcherFixture()
  fixture.catalog.apply('orders', { era: 1, version: 1, rows: [] }, 0, 'store')
  fixture.hear('far', 'south')
  await fixture.run()
  expect(fixture.asked).toEqual([])
  fixture.clock.advance(100)
  fixture.hear('near')
  await fixture.run()
  expect(fixture.asked).toEqual(['near'])
})

// Guards against a region without readers that never asks another one.
test('another region is asked when the own one stays behind', async () => {
  const fixture = new FetcherFixture()
  fixture.catalog.apply('orders', { era: 1, version: 1, rows: [] }, 0, 'store')
  fixture.hear('far', 'south')
  await fixture.run()
  fixture.clock.advance(peerLimits.storeFirstMs)
  await fixture.run()
  expect(fixture.asked).toEqual(['far'])
})

// Guards against pages sent to hosts that get the same change from the store.
test('a host that reads the store waits for the change from there', async () => {
  const fixture = new FetcherFixture()
  fixture.catalog.apply('orders', { era: 1, version: 1, rows: [] }, 0, 'store')
  fixture.isReader = true
  fixture.hear('b')
  await fixture.run()
  expect(fixture.asked).toEqual([])
  fixture.clock.advance(peerLimits.storeFirstMs)
  await fixture.run()
  expect(fixture.asked).toEqual(['b'])
})

// Guards against a page larger than a frame, which closes the connection that carries the heartbeats, and against parts of different pages.
test('a page arrives in parts, and is given up when a part has another length', async () => {
  const bytes = pageCodec.encode(whole)
  const fixture = new FetcherFixture()
  fixture.hear('b')
  const offsets: unknown[] = []
  fixture.reply = async ({ offset, pageId }) => {
    offsets.push([offset, pageId])
    return ok(createPart(bytes.subarray(Number(offset), Number(offset) + 20), bytes.length))
  }
  await fixture.run()
  for (let round = 0; round < 10; round++) await new Promise((resolve) => setImmediate(resolve))
  expect([offsets.slice(0, 2), fixture.catalog.versionOf('orders')]).toEqual([[[0, undefined], [20, 'p']], 7])
  const other = new FetcherFixture()
  other.hear('b')
  other.reply = async () => ok(createPart(bytes, bytes.length - 1))
  await other.run()
  expect([other.catalog.versionOf('orders'), other.logger.lines.length]).toEqual([-1, 1])
})

// Guards against a host of another release, or with a fault, whose bytes end the process or are taken for a table.
test('bytes that are no page are refused', async () => {
  const fixture = new FetcherFixture()
  const replies = [Buffer.from('x'), pageCodec.encode({ version: 'x' } as unknown as CatalogPage)]
  fixture.hear('b')
  for (const page of replies) {
    fixture.reply = async () => ok(createPart(page))
    await fixture.run()
    fixture.clock.advance(1_000)
  }
  expect([fixture.catalog.versionOf('orders'), fixture.logger.lines.filter((line) => line.includes('page-unreadable')).length]).toEqual([-1, 2])
})

// Guards against a host that is deaf for seconds because the host it asked has lost power or is overloaded (issue 44).
test('a second host is asked when the first one takes long, and no third', async () => {
  const fixture = new FetcherFixture()
  fixture.reply = async () => fixture.asked.length === 1 ? await new Promise(() => {}) : ok(createPart(pageCodec.encode(whole)))
  for (const name of ['b', 'c', 'd']) fixture.hear(name)
  await fixture.run()
  fixture.clock.advance(peerLimits.hedgeAfterMs - 1)
  await fixture.run()
  expect(fixture.asked).toEqual(['b'])
  fixture.clock.advance(1)
  await fixture.run()
  expect([fixture.asked, fixture.catalog.versionOf('orders')]).toEqual([['b', 'c'], 7])
})

test('at most two hosts are asked at a time', async () => {
  const fixture = new FetcherFixture()
  fixture.reply = async () => await new Promise(() => {})
  for (const name of ['b', 'c', 'd']) fixture.hear(name)
  for (let round = 0; round < 3; round++) {
    await fixture.run()
    fixture.clock.advance(peerLimits.hedgeAfterMs)
  }
  expect(fixture.asked).toEqual(['b', 'c'])
})

// Guards against a backoff that grows with each busy host although others could serve the table at once (issue 44).
test('busy hosts give way to others at once, and are asked again when their time is over', async () => {
  const fixture = new FetcherFixture()
  fixture.reply = async () => ok({ t: 'page', table: 'orders', waitMs: 400 })
  for (const name of ['b', 'c', 'd']) fixture.hear(name)
  for (let round = 0; round < 5; round++) await fixture.run()
  expect([...fixture.asked].sort()).toEqual(['b', 'c', 'd'])
  fixture.clock.advance(400)
  await fixture.run()
  expect(fixture.asked.length).toEqual(4)
})

// Guards against a fetch that waits without a bound for the rest of a page while other hosts could serve the table (issue 44).
test('a host that is busy for long with the rest of a page gives way to another one', async () => {
  const bytes = pageCodec.encode(whole)
  const fixture = new FetcherFixture()
  fixture.reply = async ({ offset }) => {
    if (fixture.asked.at(-1) === 'c') return ok(createPart(bytes))
    return ok(offset === 0 ? createPart(bytes.subarray(0, 20), bytes.length) : { t: 'page', table: 'orders', waitMs: peerLimits.fetchTimeoutMs + 1 })
  }
  for (const name of ['b', 'c']) fixture.hear(name)
  for (let round = 0; round < 3; round++) await fixture.run()
  expect([fixture.asked, fixture.catalog.versionOf('orders')]).toEqual([['b', 'b', 'c'], 7])
})

// Guards against a host that is asked no more because it named an endless time to wait.
test('a host that names a long time to wait is asked again after a second', async () => {
  const fixture = new FetcherFixture()
  fixture.reply = async () => ok({ t: 'page', table: 'orders', waitMs: 1e12 })
  fixture.hear('b')
  await fixture.run()
  fixture.clock.advance(peerLimits.maxFetchBackoffMs)
  await fixture.run()
  expect(fixture.asked).toEqual(['b', 'b'])
})
