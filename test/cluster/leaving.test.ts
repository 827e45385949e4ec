import { test } from 'node:test'
import { expect } from 'earl'
import { noBrokenPromises } from './noBrokenPromises.js'
import { runScenario } from './runScenario.js'

// Guards against a planned stop that cuts a request, loses a key or leaves callers without a host: every entry host
// is stopped and replaced in turn under load.
test('every host restarted in turn', async () => {
  const { promises, servedPart } = await runScenario({
    network: 164,
    play: async ({ cluster, sleep }) => {
      await sleep(2_000)
      for (const host of cluster.hostNames) {
        await cluster.stop(host, 'entry')
        await cluster.stop(host, 'lookup')
        await cluster.stop(host, 'agent')
        await cluster.restartHost(host)
        await sleep(1_000)
      }
      await sleep(2_000)
    }
  })
  expect(promises).toEqual(noBrokenPromises)
  expect(servedPart(0, 60_000)).toBeGreaterThanOrEqual(0.95)
})

// Guards against new work for upstreams that leave by any of the three signs, one of them in a cut-off zone.
test('upstreams leave by drain, list and own word', async () => {
  const statuses: number[] = []
  const { promises, servedPart } = await runScenario({
    network: 165,
    play: async ({ cluster, sleep }) => {
      await sleep(2_000)
      statuses.push((await cluster.operator().drain('zone', 'north-b')).status)
      await cluster.standIns.markDrain({ zone: 'north-b' })
      await cluster.standIns.setRegisteredUpstream('stock-south-b-1', 'draining')
      await cluster.cutZone('tobago-a')
      await cluster.standIns.setEndpointFaults({ endpoint: 'stock-tobago-a-1' }, { state: 'draining' })
      await sleep(6_000)
      await cluster.heal()
      statuses.push((await cluster.operator().cancelDrain('zone', 'north-b')).status)
      await cluster.standIns.clearDrain({ zone: 'north-b' })
      await sleep(3_000)
    }
  })
  expect(statuses).toEqual([200, 200])
  expect(promises).toEqual(noBrokenPromises)
  expect(servedPart(3_000, 11_000)).toBeGreaterThanOrEqual(0.9)
})

// Guards against a deployment with few hosts that can't carry the loss of one: Kimberley Road at half load.
test('Kimberley Road loses a host under load', async () => {
  const { promises, servedPart } = await runScenario({
    example: 'kimberley',
    network: 166,
    offered: 0.5,
    play: async ({ cluster, sleep, expectBreaks }) => {
      await sleep(3_000)
      expectBreaks('pilbara-a-1')
      await cluster.killHost('pilbara-a-1')
      await sleep(8_000)
    }
  })
  expect(promises).toEqual(noBrokenPromises)
  expect(servedPart(8_000, 11_000)).toBeGreaterThanOrEqual(0.97)
})
