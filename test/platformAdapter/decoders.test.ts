import { test } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { decodeEndpoint } from '../../platform/decodeEndpoint.js'
import { decodeRouting } from '../../platform/decodeRouting.js'
import { decodeRow } from '../../platform/decodeRow.js'
import { parseRuleParams } from '../../platform/parseRuleParams.js'
import { createRejectedInput } from '../support/createRejectedInput.js'
import { MemoryLogger } from '../support/MemoryLogger.js'

const config = {
  version: '0000001f',
  routes: {
    'r-1': { host: 'Shop.Example', prefix: '/a/', kind: 'non_idempotent', timeout_s: 1.5, target_latency_s: 0.6, priority: 2, weighted_services: [{ service: 's', weight: 90 }, { service: 't', weight: 10 }], max_attempts: 2, session_affinity: true, allowed_regions: ['north'] },
    'r-bad': { host: 'shop.example', prefix: '/b/', kind: 'unheard-of', service: 's' }
  },
  services: { s: { health_path: '/health', max_connections: 390, cold_start_s: 3, cold_per_s: 5 } },
  limits: { header_bytes: 16_384, body_bytes: 67_108_864, header_timeout_s: 3, idle_timeout_s: 15 }
}
const entry = { address: '10.128.0.9:8080', info: { service: 's', version: 'v1', zone: 'north-a', slots: 6 }, status: { state: 'ready', sequence: 4, cold_remaining_s: 1.5 }, born: 1_700_000_000_000 }

function encode (value: unknown): string {
  return Buffer.from(typeof value === 'string' ? value : JSON.stringify(value)).toString('base64')
}

// Guards against misread field names and units.
test('a configuration is decoded into the project\'s types', () => {
  const invalidItems: string[] = []
  const decoded = decodeRouting(config, (item) => invalidItems.push(item))._unsafeUnwrap()
  expect(decoded.version).toEqual(31)
  expect(decoded.routes).toEqual([{
    name: 'r-1',
    host: 'shop.example',
    prefix: '/a/',
    kind: 'once',
    parts: [{ service: 's', weight: 90 }, { service: 't', weight: 10 }],
    timeoutMs: 1_500,
    objectiveMs: 600,
    priority: 2,
    maxAttempts: 2,
    hasAffinity: true,
    regions: ['north']
  }])
  expect(decoded.services[0]!.coldPerSecond).toEqual(5)
  expect(decoded.limits.idleTimeoutMs).toEqual(15_000)
  expect(invalidItems).toEqual(['route r-bad'])
})

// Guards against an invalid entry from another writer that makes valid entries unusable too.
test('an invalid entry is logged and decoded without a value', () => {
  const logger = new MemoryLogger()
  const values = ['not json', { ...entry, status: { state: 'sleeping' } }, { ...entry, address: 7 }, [], null]
  const rejected = createRejectedInput(logger)
  for (const value of values) expect(decodeRow('endpoints', { key: 'i-1', ver: 7, value: encode(value) }, rejected)).toEqual({ key: 'i-1', version: 7, entry: undefined })
  expect(logger.lines.length).toEqual(values.length)
  expect(decodeRow('endpoints', { key: 'i-2', ver: 8, tombstone: true }, createRejectedInput(logger))).toEqual({ key: 'i-2', version: 8, entry: undefined })
  expect(decodeRow('endpoints', { value: 'x' }, createRejectedInput(logger))).toEqual(undefined)
})

/** Returns a copy of the valid entry without one of its fields. */
function without (section: 'info' | 'status', field: string): object {
  const { [field]: _removed, ...rest } = entry[section] as Record<string, unknown>
  return { ...entry, [section]: rest }
}

const { born: _born, ...withoutStart } = entry

// Guards against an entry of another writer that is used although a field is missing, has another type or is out of range.
test('an entry that no endpoint writes names no endpoint', () => {
  const entries: unknown[] = [
    withoutStart, without('info', 'version'), without('info', 'zone'), without('status', 'sequence'), without('status', 'cold_remaining_s'),
    ...['10.128.0.9:0', '10.128.0.9:65536', '10.128.0.9', '10.128.0.999:80', ':80', ''].map((address) => ({ ...entry, address })),
    ...[0, -1, 1.5, 1e300, '6'].map((slots) => ({ ...entry, info: { ...entry.info, slots } })),
    ...['', 7, 's'.repeat(201)].map((service) => ({ ...entry, info: { ...entry.info, service } })),
    ...[1e300, '1', null].map((seconds) => ({ ...entry, status: { ...entry.status, cold_remaining_s: seconds } })),
    ...[-1, 1.5, 1e300, 'now'].map((born) => ({ ...entry, born })),
    `${'['.repeat(30_000)}${']'.repeat(30_000)}`,
    JSON.stringify(entry).replace('"slots":6', '"slots":1e999')
  ]
  for (const value of entries) expect(decodeRow('endpoints', { key: 'i-1', ver: 7, value: encode(value) }, createRejectedInput())?.entry).toEqual(undefined)
  for (const key of ['', 'i-t\u016branga-1', 'i 1', 'i-1\r\nX: y', 'i'.repeat(201)]) {
    expect(decodeRow('endpoints', { key, ver: 7, value: encode(entry) }, createRejectedInput())?.entry).toEqual(undefined)
  }
  const notUtf8 = Buffer.concat([Buffer.from('{"address":"'), Buffer.from([0xff]), Buffer.from('"}')]).toString('base64')
  expect(decodeRow('endpoints', { key: 'i-1', ver: 7, value: notUtf8 }, createRejectedInput())?.entry).toEqual(undefined)
})

// Guards against input that ends the process with an exception.
test('no row makes the decoder throw', () => {
  const logger = new MemoryLogger()
  fc.assert(fc.property(fc.constantFrom('orders', 'endpoints', 'hosts'), fc.string(), fc.oneof(fc.string(), fc.json()), (table, key, text) => {
    decodeRow(table, { key, ver: 1, value: encode(text) }, createRejectedInput(logger))
    decodeRow(table, { key: 'config', ver: 1, value: text }, createRejectedInput(logger))
  }))
})

test('an endpoint is decoded into the project\'s type', () => {
  expect(decodeEndpoint('i-1', entry)._unsafeUnwrap()).toEqual({
    id: 'i-1', address: '10.128.0.9:8080', service: 's', zone: 'north-a', slots: 6, isDraining: false, coldMs: 1_500, bornAtMs: 1_700_000_000_000
  })
})

// Guards against silently replacing given values by defaults.
test('rule parameters are converted to ms and validated', () => {
  const bounds = parseRuleParams(['grace_s=6', 'drain_s=3', 'config_apply_s=4', 'budget_ratio=0.2', 'budget_window_s=10', 'budget_slack=58', 'ttl_max_s=5', 'unknown=x'])._unsafeUnwrap()
  expect(bounds).toEqual({ graceMs: 6_000, drainMs: 3_000, configApplyMs: 4_000, retryRatio: 0.2, retryWindowMs: 10_000, retrySlack: 58, maxTtlMs: 5_000 })
  expect(parseRuleParams(['grace_s=soon'])._unsafeUnwrapErr()).toEqual('"grace_s=soon" is not a number of 0 or more')
})
