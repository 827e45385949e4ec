import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'node:test'
import { expect } from 'earl'
import { readSettings } from '../../platform/readSettings.js'

const valid = {
  node_name: 'front-north-a-1',
  ip_address: '10.1.0.34',
  zone: 'north-a',
  region: 'north',
  zones: { 'north-a': 'north' },
  listen: { front: '10.1.0.34:8548', ready: '10.1.0.34:8542', directory: '10.1.0.34:8546', control: '10.1.0.34:8544' },
  internal_port_range: [7540, 7555],
  seed_nodes: ['10.2.0.34:8544'],
  rule_params: ['grace_s=6'],
  cloud_platform: { address: '10.200.1.7:8541', form: 'table' },
  something_new: true
}

function createSettingsFile (value: unknown): string {
  const file = join(mkdtempSync(join(tmpdir(), 'settings-')), 'settings.json')
  writeFileSync(file, typeof value === 'string' ? value : JSON.stringify(value))
  return file
}

// Guards against deriving peer and seed addresses with ports on which no host listens.
test('settings are decoded into the project\'s types', () => {
  const { host, storeAddress } = readSettings(createSettingsFile(valid))._unsafeUnwrap()
  expect(storeAddress).toEqual('10.200.1.7:8541')
  expect(host.listen.peers).toEqual('10.1.0.34:7540')
  expect(host.seeds).toEqual(['10.2.0.34:7540'])
  expect(host.bounds.graceMs).toEqual(6_000)
})

// Guards against an invalid field that is only noticed as a later crash without the field's name.
test('an invalid field is reported in one line', () => {
  const cases: Array<readonly [unknown, string]> = [
    [{ ...valid, zone: undefined }, '"zone"'],
    [{ ...valid, listen: { ...valid.listen, front: 'nowhere' } }, '"listen.front"'],
    [{ ...valid, listen: { ...valid.listen, ready: '10.1.0.34:0' } }, '"listen.ready"'],
    [{ ...valid, internal_port_range: [70_000, 70_015] }, '"internal_port_range.0"'],
    [{ ...valid, ip_address: 'here' }, '"ip_address"'],
    [{ ...valid, rule_params: ['grace_s=soon'] }, '"rule_params"'],
    [{ ...valid, cloud_platform: {} }, '"cloud_platform.address"']
  ]
  for (const [value, field] of cases) {
    const message = readSettings(createSettingsFile(value))._unsafeUnwrapErr()
    expect(message.includes(field)).toEqual(true)
    expect(message.includes('\n')).toEqual(false)
  }
  expect(readSettings(createSettingsFile('a\nb\n'))._unsafeUnwrapErr().includes('\n')).toEqual(false)
  expect(readSettings(createSettingsFile('{'))._unsafeUnwrapErr().includes('cannot be read')).toEqual(true)
  expect(readSettings('/no/such/file').isErr()).toEqual(true)
})

// Guards against a seed that makes each attempt to reach it fail with an exception and a log line.
test('seeds without a usable address are left out', () => {
  const { host } = readSettings(createSettingsFile({ ...valid, seed_nodes: ['10.2.0.34:8544', 'host-1:8544', '10.2.0.999:1'] }))._unsafeUnwrap()
  expect(host.seeds).toEqual(['10.2.0.34:7540'])
})
