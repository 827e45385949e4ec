import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'node:test'
import { expect } from 'earl'

const binary = new URL('../../src/bin/shuntAgent.js', import.meta.url).pathname
const maxResidentKib = 64 * 1_024

// Guards against an agent that exceeds its memory limit, cannot start without the platform, or does not stop cleanly.
test('the binary starts without a platform, stays under 64 MiB and stops on SIGTERM', async (t) => {
  const folder = mkdtempSync(join(tmpdir(), 'shunt-agent-'))
  t.after(() => rmSync(folder, { recursive: true }))
  const file = join(folder, 'host.jsonc')
  writeFileSync(file, JSON.stringify({
    host: 'a-1',
    zone: 'a',
    address: '127.20.17.1',
    clusterKey: 'a-cluster-key-of-at-least-32-characters',
    operators: [{ name: 'anna', credentialHash: '0'.repeat(64) }],
    platform: { url: 'http://127.20.17.99:8070', timeoutMs: 500 },
    seeds: ['127.20.17.1:8084', '127.20.17.2:8084']
  }))
  const child = spawn(process.execPath, [binary, '--settings', file], { stdio: ['ignore', 'pipe', 'inherit'] })
  t.after(() => child.kill('SIGKILL'))
  await new Promise<void>((resolve) => child.stdout.on('data', (chunk: Buffer) => { if (chunk.includes('event=started')) resolve() }))
  await new Promise((resolve) => setTimeout(resolve, 1_500))
  const ready = await fetch('http://127.20.17.1:8085/health/ready')
  expect({ status: ready.status, body: await ready.json() }).toEqual({ status: 503, body: { status: 'not-ready', reason: 'no configuration has been loaded yet' } })
  const resident = Number(/VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${child.pid}/status`, 'utf8'))?.[1])
  t.diagnostic(`${(resident / 1_024).toFixed(1)} MiB resident`)
  expect(resident < maxResidentKib).toEqual(true)
  child.kill('SIGTERM')
  expect(await once(child, 'exit')).toEqual([0, null])
})
