import { test } from 'node:test'
import { expect } from 'earl'
import { noBrokenPromises } from './noBrokenPromises.js'
import { runScenario } from './runScenario.js'

// Guards against a zone that stops serving, or exceeds its share of a cap, while it is partitioned from all others and
// from the platform, and against a lowered cap that is exceeded because the zone can't receive the change.
test('zone cut off and healed', async () => {
  let changeStatus = 0
  const { promises, records } = await runScenario({
    network: 158,
    runSteps: async ({ cluster, sleep, expectCap }) => {
      await sleep(3_000)
      await cluster.cutZone('south-a')
      await sleep(3_000)
      const contract = cluster.contracts.find(({ customer }) => customer === 'san-fernando-gyms')!
      const lowered = { rate: 60, concurrency: 20 }
      changeStatus = (await cluster.operator().changeContract(contract.customer, lowered)).status
      if (changeStatus === 200) expectCap({ ...contract, ...lowered, fromMs: Date.now() + 6_000 })
      await sleep(9_000)
      await cluster.heal()
      await sleep(4_000)
    }
  })
  expect(changeStatus).toEqual(200)
  expect(promises).toEqual(noBrokenPromises)
  const inCutZone = records.filter(({ host, result }) => host === 'south-a-1' && result === 'ok')
  expect(inCutZone.length).toBeGreaterThan(0)
})

// Guards against hosts that treat a link as healthy although it works in one direction only.
test('one-way cut between zones', async () => {
  const { promises, servedShare: servedPart } = await runScenario({
    network: 159,
    runSteps: async ({ cluster, sleep }) => {
      await sleep(3_000)
      await cluster.cutOneWay('north-a', 'north-b')
      await sleep(8_000)
      await cluster.heal()
      await sleep(3_000)
    }
  })
  expect(promises).toEqual(noBrokenPromises)
  expect(servedPart(7_000, 11_000)).toBeGreaterThanOrEqual(0.9)
})

// Guards against a region that fails or exceeds caps while it is partitioned, and against a burst of load when it reconnects.
test('region cut off twice', async () => {
  const { promises, servedShare: servedPart } = await runScenario({
    network: 160,
    runSteps: async ({ cluster, sleep }) => {
      for (let round = 0; round < 2; round += 1) {
        await sleep(2_000)
        await cluster.cutRegion('tobago')
        await sleep(6_000)
        await cluster.heal()
      }
      await sleep(3_000)
    }
  })
  expect(promises).toEqual(noBrokenPromises)
  expect(servedPart(16_500, 19_000)).toBeGreaterThanOrEqual(0.95)
})
