import { spawnSync } from 'node:child_process'
import { mkdtempSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { once } from 'node:events'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { spawn } from 'node:child_process'
import { test } from 'node:test'
import { expect } from 'earl'
import { exitCodes } from '../../src/common/exitCodes.js'

const folder = mkdtempSync(join(tmpdir(), 'daemon-'))

function runLookup (...args: string[]): { status: number | null, stdout: string, stderr: string } {
  return spawnSync(process.execPath, ['dist/src/bin/shuntLookup.js', ...args], { encoding: 'utf8', timeout: 10_000 })
}

// Guards against starting with invalid arguments or settings, and against exiting without an error message.
test('a daemon rejects invalid arguments and settings', () => {
  expect(runLookup('--version').stdout).toMatchRegex(/^\d+\.\d+\.\d+\n$/)
  expect(runLookup('--help').stdout).toInclude('--settings <file>')
  expect([runLookup().status, runLookup('--setings', 'x').status]).toEqual([exitCodes.usage.code, exitCodes.usage.code])
  const file = join(folder, 'bad.jsonc')
  writeFileSync(file, '{\n  "hots": "a"\n}')
  const bad = runLookup('--settings', file)
  expect([bad.status, bad.stderr.includes(`${file}:2:3: hots: the key is not known; did you mean "host"?`)]).toEqual([exitCodes.invalid.code, true])
})

// Guards against a daemon that keeps running although its port is in use.
test('a daemon that can\'t bind its port exits', async () => {
  const blocker = createServer().listen(8083, '127.24.3.2')
  await once(blocker, 'listening')
  const file = join(folder, 'settings.jsonc')
  writeFileSync(file, JSON.stringify({ host: 'a', zone: 'z', address: '127.24.3.2', clusterKey: 'x'.repeat(32), platform: { url: 'http://127.24.3.9:1' } }))
  const child = spawn(process.execPath, ['dist/src/bin/shuntLookup.js', '--settings', file], { stdio: ['ignore', 'pipe', 'inherit'] })
  let log = ''
  child.stdout.on('data', (chunk: Buffer) => { log += chunk.toString() })
  expect(await once(child, 'close')).toEqual([exitCodes.startFailed.code, null])
  expect(log).toMatchRegex(/level=error host=a process=shunt-lookup module=daemon event=start-failed message=".*EADDRINUSE/)
  blocker.close()
})
