import { execFileSync, spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { closeSync, constants, mkdtempSync, openSync, readFileSync, writeFileSync, writeSync } from 'node:fs'
import { request } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'node:test'
import { expect } from 'earl'
import { PlatformEndpoint } from '../../dev/store/PlatformEndpoint.js'
import { StoreServer } from '../../dev/store/StoreServer.js'

/** Loopback address of the host under test; the ports are the same as on a real machine. */
const address = '127.77.0.1'
const ports = { front: 8_548, ready: 8_542, directory: 8_546 }
const startTimeoutMs = 10_000

function createSettingsFile (storeAddress: string): string {
  const file = join(mkdtempSync(join(tmpdir(), 'host-')), 'settings.json')
  overwriteSettings(file, storeAddress)
  return file
}

function overwriteSettings (file: string, storeAddress: string, ttlSeconds = 5): void {
  writeFileSync(file, JSON.stringify({
    node_name: 'front-north-a-1',
    ip_address: address,
    zone: 'north-a',
    region: 'north',
    zones: { 'north-a': 'north' },
    listen: { front: `${address}:${ports.front}`, ready: `${address}:${ports.ready}`, directory: `${address}:${ports.directory}` },
    internal_port_range: [7_540, 7_555],
    seed_nodes: [],
    bootstrap: true,
    rule_params: ['grace_s=3', 'budget_ratio=0.2', 'budget_window_s=10', 'budget_slack=58', `ttl_max_s=${ttlSeconds}`],
    cloud_platform: { address: storeAddress }
  }))
}

/** Runs `shuntHost.js` as a child process. */
class HostProgram {
  readonly child: ChildProcess
  output = ''
  readonly exited: Promise<number | null>

  constructor (file: string | undefined) {
    const env = { PATH: process.env.PATH, ...(file === undefined ? {} : { SAPPHIRESHUNT_NODE_FILE: file }) }
    this.child = spawn(process.execPath, ['dist/platform/shuntHost.js'], { env })
    for (const stream of [this.child.stdout!, this.child.stderr!]) stream.on('data', (chunk: Buffer) => { this.output += chunk.toString() })
    this.exited = new Promise((resolve) => this.child.once('exit', (code) => resolve(code)))
  }

  async waitFor (text: string): Promise<void> {
    const endMs = performance.now() + startTimeoutMs
    while (!this.output.includes(text)) {
      if (performance.now() > endMs) throw new Error(`no "${text}" in:\n${this.output}`)
      await new Promise((resolve) => setTimeout(resolve, 20))
    }
  }
}

async function get (port: number, path: string): Promise<number> {
  return await new Promise((resolve, reject) => {
    const req = request({ host: address, port, path, agent: false, headers: { Host: 'shop.example', 'X-Request-Id': 'r', 'X-Deadline-Ms': '2000' } }, (res) => {
      res.resume()
      res.on('end', () => resolve(res.statusCode ?? 0))
    })
    req.on('error', reject)
    req.end()
  })
}

// Guards against exiting on invalid settings without naming the field.
test('the program reports which setting is invalid', async () => {
  const unset = new HostProgram(undefined)
  expect(await unset.exited).toEqual(3)
  expect(unset.output.includes('SAPPHIRESHUNT_NODE_FILE')).toEqual(true)
  const file = join(mkdtempSync(join(tmpdir(), 'host-')), 'settings.json')
  writeFileSync(file, '{"node_name": 7}')
  const invalid = new HostProgram(file)
  expect(await invalid.exited).toEqual(3)
  expect(invalid.output.includes('"node_name"')).toEqual(true)
})

// Guards against a stop that aborts a request, lasts longer than the grace time, or exits with an error.
test('the program serves requests, survives SIGHUP and stops cleanly on SIGTERM', async () => {
  const store = new StoreServer()
  const endpoint = new PlatformEndpoint('e-1')
  await endpoint.listen()
  endpoint.serviceMs = 300
  store.tables.put('op', 'config', {
    version: '00000001',
    routes: { r: { host: 'shop.example', prefix: '/read/', kind: 'idempotent', timeout_s: 2, service: 's', max_attempts: 2 } },
    services: { s: { health_path: '/health', max_connections: 100 } },
    limits: { header_bytes: 16_384, body_bytes: 1_000_000, header_timeout_s: 3, idle_timeout_s: 15 }
  })
  store.tables.put('servers', 'e-1', endpoint.describe('s', 'north-a'))
  const program = new HostProgram(createSettingsFile(await store.listen()))
  try {
    await program.waitFor('event=endpoints-changed')
    await program.waitFor('event=config-applied')
    expect(await get(ports.ready, '/v1/readiness')).toEqual(200)
    expect(await get(ports.directory, '/v1/resolve?name=shop.example&region=north&zone=north-a')).toEqual(200)
    program.child.kill('SIGHUP')
    await program.waitFor('event=reload cause=signal changed=0')
    const slow = get(ports.front, '/read/1')
    for (let tries = 0; endpoint.runs.length === 0 && tries < 200; tries++) await new Promise((resolve) => setTimeout(resolve, 10))
    const startMs = performance.now()
    program.child.kill('SIGTERM')
    expect(await slow).toEqual(200)
    expect(await program.exited).toEqual(0)
    expect(performance.now() - startMs < 3_000).toEqual(true)
    expect(program.output.includes('event=stopped')).toEqual(true)
  } finally {
    program.child.kill('SIGKILL')
    store.close()
    endpoint.close()
  }
})

// Guards against changed settings that are logged as reloaded but not applied, and against an invalid file that ends the process.
test('the program applies changed settings, on a signal and on a file change', async () => {
  const store = new StoreServer()
  store.tables.put('op', 'config', { version: '00000001', routes: {}, services: {}, limits: { header_bytes: 16_384, body_bytes: 1_000_000, header_timeout_s: 3, idle_timeout_s: 15 } })
  const storeAddress = await store.listen()
  const file = createSettingsFile(storeAddress)
  const program = new HostProgram(file)
  try {
    await program.waitFor('event=config-applied')
    await program.waitFor('event=started')
    overwriteSettings(file, storeAddress, 1)
    program.child.kill('SIGHUP')
    await program.waitFor('event=setting-changed field=bounds.maxTtlMs from=5000 to=1000 inForce=true')
    overwriteSettings(file, storeAddress, 3)
    await program.waitFor('event=reload cause=file-changed changed=1')
    writeFileSync(file, '{')
    await program.waitFor('event=reload-failed')
    expect(await get(ports.ready, '/v1/readiness')).toEqual(200)
  } finally {
    program.child.kill('SIGKILL')
    store.close()
  }
})

// Guards against a process that is ended by SIGHUP because the settings change while it starts.
test('SIGHUP before the settings are read does not end the program', async () => {
  const store = new StoreServer()
  const file = createSettingsFile(await store.listen())
  const pipe = join(mkdtempSync(join(tmpdir(), 'host-')), 'settings.json')
  execFileSync('mkfifo', [pipe])
  const program = new HostProgram(pipe)
  try {
    // The program waits in its read of the settings until they are written to the pipe.
    const writer = await openPipe(pipe)
    program.child.kill('SIGHUP')
    await new Promise((resolve) => setTimeout(resolve, 100))
    writeSync(writer, readFileSync(file))
    closeSync(writer)
    await program.waitFor('event=started')
  } finally {
    program.child.kill('SIGKILL')
    store.close()
  }
})

/** Opens a pipe for writing as soon as a process reads it. */
async function openPipe (pipe: string): Promise<number> {
  const endMs = performance.now() + startTimeoutMs
  for (;;) {
    try {
      return openSync(pipe, constants.O_WRONLY | constants.O_NONBLOCK)
    } catch (error) {
      if (performance.now() > endMs) throw error
      await new Promise((resolve) => setTimeout(resolve, 5))
    }
  }
}
