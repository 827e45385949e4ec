import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'node:test'
import { expect } from 'earl'
import { runSoak } from '../../dev/soak/runSoak.js'

const seed = 2
const faultSeconds = 10

// Guards against promises that hold under each single fault but break when faults follow each other or overlap.
test('a short soak breaks no promise', async () => {
  const folder = mkdtempSync(join(tmpdir(), 'soak-test-'))
  const lines: string[] = []
  const { findings, requests, served, faults } = await runSoak({
    seed,
    seconds: faultSeconds,
    hosts: 4,
    endpoints: 8,
    callers: 20,
    overlap: 2,
    folder,
    script: 'dist/platform/shuntHost.js',
    onLine: (line) => lines.push(line)
  })
  if (findings.length > 0) console.log(lines.join('\n'), `logs in ${folder}`)
  expect(findings).toEqual([])
  expect([requests > 500, served > requests / 2, faults > 5]).toEqual([true, true, true])
  rmSync(folder, { recursive: true, force: true })
})
