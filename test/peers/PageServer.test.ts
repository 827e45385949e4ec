import { test } from 'node:test'
import { expect } from 'earl'
import { Registry } from 'prom-client'
import { Catalog } from '../../src/catalog/Catalog.js'
import { ManualClock } from '../../src/common/ManualClock.js'
import { pageCodec } from '../../src/peers/pageCodec.js'
import { PageServer } from '../../src/peers/PageServer.js'
import { peerLimits } from '../../src/peers/peerLimits.js'
import { PeerTraffic } from '../../src/peers/PeerTraffic.js'
import { createRoutingConfig } from '../support/createRoutingConfig.js'

/** A host on a link of 1 Mbit/s with a configuration of many routes, whose names don't compress well. */
function createServer (clock: ManualClock): PageServer {
  const catalog = new Catalog(() => {})
  const { routes, ...config } = createRoutingConfig()
  const names = Array.from({ length: 2_000 }, (_value, index) => Math.sin(index + 1).toString(36))
  catalog.apply('orders', { era: 1, version: 4, rows: [{ key: 'config', version: 4, entry: { kind: 'routing', config: { ...config, routes: names.map((name) => ({ ...routes[0]!, name })) } } }] }, 0, 'store')
  return new PageServer({ catalog, clock, traffic: new PeerTraffic(new Registry(), clock), getLinkMbps: () => 1 })
}

const request = { t: 'fetch', table: 'orders', era: 0, version: -1 }

// Guards against a large configuration that takes the whole link from requests and heartbeats (issue 41).
test('pages take at most half of the link', () => {
  const clock = new ManualClock()
  const server = createServer(clock)
  let bytes = 0
  for (let ms = 0; ms < 10_000; ms += 10) {
    const reply = server.serve(request)!
    if (reply.part instanceof Uint8Array) bytes += reply.part.length
    else expect(typeof reply.waitMs).toEqual('number')
    clock.advance(10)
  }
  const halfLinkBytes = 62_500 * 10
  expect([bytes > halfLinkBytes * 0.8, bytes < halfLinkBytes + peerLimits.pagePartBytes * 2]).toEqual([true, true])
})

// Guards against a reply that lacks rows because it was made for an earlier version or for another position.
test('a page is made anew when the table or the position of the receiver is another one', () => {
  const clock = new ManualClock()
  const catalog = new Catalog(() => {})
  const server = new PageServer({ catalog, clock, traffic: new PeerTraffic(new Registry(), clock), getLinkMbps: () => 0 })
  const put = (version: number): void => {
    catalog.apply('orders', { era: 1, ...(version === 1 ? {} : { after: version - 1 }), version, rows: [{ key: `z-${version}`, version, entry: { kind: 'evacuation', zone: 'z' } }] }, 0, 'store')
  }
  const count = (version: number): number => (pageCodec.decode(server.serve({ ...request, era: 1, version })!.part as Uint8Array) as { rows: unknown[] }).rows.length
  put(1)
  put(2)
  expect([count(-1), count(1), count(-1)]).toEqual([2, 1, 2])
  put(3)
  expect([count(-1), count(1), count(2)]).toEqual([3, 2, 1])
})

test('a request for no table is refused', () => {
  const server = createServer(new ManualClock())
  expect([{ ...request, table: 'x' }, { ...request, version: 'x' }, { t: 'fetch' }].map((message) => server.serve(message))).toEqual([undefined, undefined, undefined])
})

// Guards against a page put together from two versions of a table, and against a large one that never arrives because the table changes often.
test('the parts of a page are of one version although the table changes meanwhile', () => {
  const clock = new ManualClock()
  const catalog = new Catalog(() => {})
  const server = new PageServer({ catalog, clock, traffic: new PeerTraffic(new Registry(), clock), getLinkMbps: () => 0 })
  catalog.apply('orders', { era: 1, version: 1, rows: [] }, 0, 'store')
  const { pageId, totalBytes, part: first } = server.serve(request)!
  catalog.apply('orders', { era: 1, after: 1, version: 2, rows: [{ key: 'z', version: 2, entry: { kind: 'evacuation', zone: 'z' } }] }, 0, 'store')
  expect(server.serve(request)!.pageId !== pageId).toEqual(true)
  const offset = Number(totalBytes) - 1
  expect(server.serve({ ...request, offset, pageId })!.part).toEqual((first as Buffer).subarray(offset))
  expect(server.serve({ ...request, offset, pageId: 'x' })!.part).toEqual(undefined)
})
