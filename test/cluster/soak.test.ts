import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'node:test'
import { expect } from 'earl'
import { runSoak } from '../../dev/soak/runSoak.js'
import type { SoakOptions } from '../../dev/soak/SoakOptions.js'

const faultSeconds = 10

async function expectNoFinding (options: Omit<SoakOptions, 'seconds' | 'callers' | 'overlap'>): Promise<void> {
  const folder = mkdtempSync(join(tmpdir(), 'soak-test-'))
  const lines: string[] = []
  const { findings, requests, served, faults } = await runSoak({
    ...options,
    seconds: faultSeconds,
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
}

// Guards against promises that hold under each single fault but break when faults follow each other or overlap.
test('a short soak breaks no promise', async () => {
  await expectNoFinding({ seed: 2, hosts: 4, endpoints: 8 })
})

// Guards against hosts in several regions that miss changes after all their connections fell silent together.
test('a short soak with silent connections breaks no promise', async () => {
  await expectNoFinding({ seed: 564, hosts: 7, endpoints: 12, silencesConnections: true, regionDelayMs: 35 })
})

// Guards against orders that run twice when endpoints restart at their address and send copies of refusals, to hosts in any region.
test('a short soak with restarting endpoints breaks no promise', async () => {
  await expectNoFinding({ seed: 904, hosts: 4, endpoints: 8, restartsEndpoints: true })
})
