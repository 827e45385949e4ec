import { test } from 'node:test'
import { expect } from 'earl'
import { noBrokenPromises } from './noBrokenPromises.js'
import { runScenario } from './runScenario.js'

// Guards against requests that keep failing after a host was killed, and against duplicate runs of its orders.
test('host killed and replaced', async () => {
  const { promises, servedShare: servedPart } = await runScenario({
    network: 150,
    runSteps: async ({ cluster, sleep, expectBreaks }) => {
      await sleep(3_000)
      expectBreaks('south-a-1')
      await cluster.killHost('south-a-1')
      await sleep(8_000)
      await cluster.restartHost('south-a-1')
      await sleep(5_000)
    }
  })
  expect(promises).toEqual(noBrokenPromises)
  expect(servedPart(9_000, 11_000)).toBeGreaterThanOrEqual(0.97)
  expect(servedPart(13_000, 16_000)).toBeGreaterThanOrEqual(0.97)
})

// Guards against a failover that works only once: both hosts of a region are killed, one after the other.
test('all hosts of a region killed', async () => {
  const { promises, servedShare: servedPart } = await runScenario({
    network: 151,
    runSteps: async ({ cluster, sleep, expectBreaks }) => {
      for (const host of ['tobago-a-1', 'tobago-b-1']) {
        await sleep(2_000)
        expectBreaks(host)
        await cluster.killHost(host)
      }
      await sleep(8_000)
    }
  })
  expect(promises).toEqual(noBrokenPromises)
  expect(servedPart(9_000, 12_000)).toBeGreaterThanOrEqual(0.95)
})
