import { test } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import type { CatalogEntry } from '../../src/catalog/CatalogEntry.js'
import { readHeartbeat } from '../../src/peers/readHeartbeat.js'
import { createEndpoint } from '../support/createEndpoint.js'
import { createHeartbeat } from '../support/createHeartbeat.js'
import { createRoute } from '../support/createRoute.js'
import { createRoutingConfig } from '../support/createRoutingConfig.js'

// Guards against validation that alters a heartbeat.
test('a valid heartbeat is returned unchanged', () => {
  const beat = createHeartbeat('a', 1, {
    loads: [['e1', 2]],
    breaks: [['e2', 3]],
    demands: [['stock', 4.5]],
    pages: [['hosts', { era: 0, version: 3, after: 1, rows: [{ key: 'a', version: 3, entry: undefined }] }]]
  })
  expect(readHeartbeat(beat)).toEqual(beat)
})

// Guards against hosts that reject each other's heartbeats during a rolling upgrade.
test('a field added in a later release may be missing', () => {
  const { breaks: _breaks, ...earlier } = createHeartbeat('a', 1)
  expect(readHeartbeat(earlier)?.breaks).toEqual([])
})

// Guards against a malformed frame that crashes a host or corrupts its tables.
test('malformed heartbeats are rejected', () => {
  const beat = createHeartbeat('a', 1)
  for (const wrong of [
    undefined, null, 7, {}, { ...beat, loads: [['e1']] }, { ...beat, host: { name: 'a' } }, { ...beat, pages: [['others', { version: 1, rows: [] }]] }
  ]) {
    expect(readHeartbeat(wrong)).toEqual(undefined)
  }
  fc.assert(fc.property(fc.anything(), (value) => { readHeartbeat(value) }), { seed: 7 })
})

// Guards against an unusable entry that a host of an earlier release forwards, and against losing the rest of its heartbeat.
test('a forwarded entry that names no usable endpoint is dropped', () => {
  const rows = ['e-1', 'i-t\u016branga-1'].map((id) => ({ key: id, version: 3, entry: { kind: 'endpoint' as const, endpoint: createEndpoint(id, { address: '10.0.0.1:80' }) } }))
  const read = readHeartbeat(createHeartbeat('a', 1, { pages: [['endpoints', { era: 0, version: 3, after: 1, rows }]] }))
  expect(read?.pages[0]![1].rows.map(({ key, entry }) => [key, entry?.kind])).toEqual([['e-1', 'endpoint'], ['i-t\u016branga-1', undefined]])
})

// Guards against a configuration that a host of another release read by other rules, and that requests can't be served with.
test('a page with a configuration that can not be used is left out and recorded', () => {
  const config = createRoutingConfig()
  const { parts: _parts, ...route } = createRoute()
  const reasons: string[] = []
  const read = (entry: object): number | undefined => {
    const page = { era: 0, version: 3, after: 1, rows: [{ key: 'config', version: 3, entry: entry as CatalogEntry }] }
    return readHeartbeat(createHeartbeat('a', 1, { pages: [['orders', page]] }), (reason) => reasons.push(reason))?.pages.length
  }
  const counts = [config, { ...config, routes: [route] }, { ...config, routes: [{ ...route, parts: [] }] }, { version: 2 }].map((each) => read({ kind: 'routing', config: each }))
  expect([counts, read({ kind: 'later' })]).toEqual([[1, 0, 0, 0], 0])
  expect(reasons).toEqual(Array(4).fill('forwarded-entry-unusable'))
})

// Guards against a host whose address no other host can connect to; each heartbeat to it would fail with an exception.
test('a heartbeat of a host without a usable address is refused', () => {
  const beat = createHeartbeat('a', 1)
  expect(readHeartbeat({ ...beat, host: { ...beat.host, peerAddress: 'host-1' } })).toEqual(undefined)
})
