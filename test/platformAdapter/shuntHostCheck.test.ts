import { spawn } from 'node:child_process'
import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'node:test'
import { expect } from 'earl'
import { StoreServer } from '../../dev/store/StoreServer.js'

/** Runs the command and returns its exit code and output. */
async function run (args: readonly string[]): Promise<{ code: number | null, output: string }> {
  const child = spawn(process.execPath, ['dist/platform/shuntHostCheck.js', ...args])
  let output = ''
  for (const stream of [child.stdout, child.stderr]) stream.on('data', (chunk: Buffer) => { output += chunk.toString() })
  const code = await new Promise<number | null>((resolve) => child.once('close', resolve))
  return { code, output }
}

function createSettingsFile (storeAddress: string): string {
  const file = join(mkdtempSync(join(tmpdir(), 'check-')), 'settings.json')
  writeFileSync(file, JSON.stringify({
    node_name: 'h',
    ip_address: '127.0.0.1',
    zone: 'north-a',
    region: 'north',
    zones: { 'north-a': 'north' },
    listen: { front: '127.0.0.1:1', ready: '127.0.0.1:2', directory: '127.0.0.1:3' },
    internal_port_range: [4, 9],
    rule_params: [],
    cloud_platform: { address: storeAddress }
  }))
  return file
}

// Guards against a check that misses a fault or does not report its cause.
test('the check distinguishes invalid settings from an unavailable store', async () => {
  const store = new StoreServer()
  try {
    const file = createSettingsFile(await store.listen())
    store.tables.put('servers', 'i-1', {})
    const valid = await run(['--settings', file])
    expect(valid.code).toEqual(0)
    expect(valid.output.includes('table=endpoints version=1 rows=1')).toEqual(true)
    store.faults.down = 'busy'
    const unavailable = await run(['--settings', file])
    expect(unavailable.code).toEqual(4)
    expect(unavailable.output.includes('the store returned 503')).toEqual(true)
    expect((await run(['--settings', file, '--no-store'])).code).toEqual(0)
  } finally {
    store.close()
  }
  const missing = await run(['--settings', '/no/such/file'])
  expect(missing.code).toEqual(3)
  expect((await run([])).code).toEqual(2)
})
