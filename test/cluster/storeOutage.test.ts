import { test } from 'node:test'
import { expect } from 'earl'
import { noBrokenPromises } from './noBrokenPromises.js'
import { runScenario } from './runScenario.js'

// Guards against traffic that depends on the store, a host that restarts without a configuration, and changes that are
// reported with a wrong outcome while the store is down for 60 s.
test('store down for 60 s', async () => {
  const refusals: unknown[] = []
  let afterStatus = 0
  const { promises, servedShare: servedPart } = await runScenario({
    network: 154,
    offeredLoad: 0.2,
    runSteps: async ({ cluster, sleep, expectBreaks }) => {
      await sleep(2_000)
      await cluster.setPlatformMode('hang')
      await sleep(10_000)
      const refused = await cluster.operator().changeContract('sports-clubs', { priority: 3 })
      refusals.push(refused.status, refused.body.outcome)
      expectBreaks('tobago-b-1')
      await cluster.killHost('tobago-b-1')
      await sleep(2_000)
      await cluster.restartHost('tobago-b-1')
      await sleep(48_000)
      await cluster.setPlatformMode('up')
      await sleep(7_000)
      afterStatus = (await cluster.operator().changeContract('sports-clubs', { priority: 3 })).status
    }
  })
  expect(refusals[0]).toEqual(503)
  expect(['not-run', 'unknown']).toInclude(refusals[1] as string)
  expect(afterStatus).toEqual(200)
  expect(promises).toEqual(noBrokenPromises)
  expect(servedPart(22_000, 60_000)).toBeGreaterThanOrEqual(0.99)
})
