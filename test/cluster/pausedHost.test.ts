import { test } from 'node:test'
import { expect } from 'earl'
import { noBrokenPromises } from './noBrokenPromises.js'
import { runScenario } from './runScenario.js'

// Guards against a host that resumes after its loans, claims and ownership have expired and still uses them.
test('host paused beyond its leases and resumed', async () => {
  const { promises, servedShare: servedPart } = await runScenario({
    network: 152,
    runSteps: async ({ cluster, sleep, expectBreaks }) => {
      await sleep(3_000)
      expectBreaks('north-b-1')
      for (const role of ['agent', 'entry', 'lookup'] as const) cluster.pause('north-b-1', role)
      await sleep(9_000)
      for (const role of ['entry', 'agent', 'lookup'] as const) cluster.resume('north-b-1', role)
      await sleep(5_000)
    }
  })
  expect(promises).toEqual(noBrokenPromises)
  expect(servedPart(9_000, 12_000)).toBeGreaterThanOrEqual(0.95)
})

// Guards against an entry process that keeps using a stale view while its agent is paused, twice in a row.
test('agent paused twice', async () => {
  const { promises } = await runScenario({
    network: 153,
    runSteps: async ({ cluster, sleep }) => {
      for (let round = 0; round < 2; round += 1) {
        await sleep(1_500)
        cluster.pause('south-b-1', 'agent')
        await sleep(6_000)
        cluster.resume('south-b-1', 'agent')
      }
      await sleep(2_000)
    }
  })
  expect(promises).toEqual(noBrokenPromises)
})
