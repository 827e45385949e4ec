import { test } from 'node:test'
import { expect } from 'earl'
import { noBrokenPromises } from './noBrokenPromises.js'
import { runScenario } from './runScenario.js'

// Guards against routing by load reports that are missing, frozen or falsely report an idle endpoint.
test('reports stop, freeze and lie', async () => {
  const { promises, servedShare: servedPart } = await runScenario({
    network: 161,
    offeredLoad: 0.5,
    runSteps: async ({ cluster, sleep }) => {
      await sleep(2_000)
      await cluster.standIns.setEndpointFaults({ region: 'north', service: 'stock-listing' }, { reports: 'stop' })
      await cluster.standIns.setEndpointFaults({ region: 'south' }, { reports: 'freeze' })
      await cluster.standIns.setEndpointFaults({ region: 'tobago' }, { reports: 'lie', lieUsed: 0 })
      await sleep(10_000)
    }
  })
  expect(promises).toEqual(noBrokenPromises)
  expect(servedPart(4_000, 12_000)).toBeGreaterThanOrEqual(0.97)
})

// Guards against mixed-up or truncated answers and duplicate runs when endpoints crash, truncate, hang or reset in the middle of an answer.
test('endpoints die, truncate, hang and answer late', async () => {
  const { promises, records } = await runScenario({
    network: 162,
    runSteps: async ({ cluster, sleep }) => {
      const faults = ['die', 'truncate', 'hang', 'reset'] as const
      for (const [index, answers] of faults.entries()) {
        await sleep(1_500)
        const zone = ['north-a', 'north-b', 'south-a', 'tobago-b'][index]!
        await cluster.standIns.setEndpointFaults({ zone }, { answers, answerCount: 6 })
      }
      await cluster.standIns.setEndpointFaults({ zone: 'south-b' }, { lateMs: 400 })
      await sleep(6_000)
    }
  })
  expect(promises).toEqual(noBrokenPromises)
  const reads = records.filter(({ kind }) => kind === 'read')
  expect(reads.filter(({ result }) => result === 'ok').length / reads.length).toBeGreaterThanOrEqual(0.95)
})

// Guards against full load on cold endpoints and against requests that are lost when endpoints refuse connections and come back.
test('endpoints refuse, come back cold, and shed', async () => {
  const { promises, servedShare: servedPart } = await runScenario({
    network: 163,
    runSteps: async ({ cluster, sleep }) => {
      await sleep(2_000)
      await cluster.standIns.setEndpointFaults({ zone: 'south-a' }, { refuse: true })
      await sleep(4_000)
      await cluster.standIns.setEndpointFaults({ zone: 'south-a' }, { refuse: false, state: 'cold' })
      await cluster.standIns.setEndpointFaults({ zone: 'north-b' }, { serviceScale: 6 })
      await sleep(6_000)
    }
  })
  expect(promises).toEqual(noBrokenPromises)
  expect(servedPart(4_000, 12_000)).toBeGreaterThanOrEqual(0.95)
})
