import { test } from 'node:test'
import { expect } from 'earl'
import { noBrokenPromises } from './noBrokenPromises.js'
import { runScenario } from './runScenario.js'

// Guards against a planned stop that cuts off a request, loses an idempotency key or leaves callers without a host:
// every entry host is stopped and restarted in turn under load.
test('every host restarted in turn', async () => {
  const { promises, servedShare: servedPart } = await runScenario({
    network: 164,
    runSteps: async ({ cluster, sleep }) => {
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

// Guards against new requests to upstreams that leave the deployment, signalled by an operator's drain, by the platform's
// registry or by the endpoint's own state; the last one is in a partitioned zone.
test('upstreams leave by drain, list and own word', async () => {
  const statuses: number[] = []
  const { promises, servedShare: servedPart } = await runScenario({
    network: 165,
    runSteps: async ({ cluster, sleep }) => {
      await sleep(2_000)
      statuses.push((await cluster.operator().drain('zone', 'north-b')).status)
      await cluster.standIns.markDrain({ zone: 'north-b' })
      await cluster.standIns.setRegisteredUpstream('stock-south-b-1', 'draining')
      await cluster.cutZone('tobago-a')
      await cluster.standIns.setEndpointFaults({ endpoint: 'stock-tobago-a-1' }, { state: 'draining' })
      await sleep(6_000)
      await cluster.heal()
      // Hosts may use the zone again from the moment at which the cancellation is sent.
      await cluster.standIns.clearDrain({ zone: 'north-b' })
      statuses.push((await cluster.operator().cancelDrain('zone', 'north-b')).status)
      await sleep(3_000)
    }
  })
  expect(statuses).toEqual([200, 200])
  expect(promises).toEqual(noBrokenPromises)
  expect(servedPart(3_000, 11_000)).toBeGreaterThanOrEqual(0.9)
})

// Guards against a small deployment that can't tolerate the loss of one host: Kimberley Road at half load.
test('Kimberley Road loses a host under load', async () => {
  const { promises, servedShare: servedPart } = await runScenario({
    example: 'kimberley',
    network: 166,
    offeredLoad: 0.5,
    runSteps: async ({ cluster, sleep, expectBreaks }) => {
      await sleep(3_000)
      expectBreaks('pilbara-a-1')
      await cluster.killHost('pilbara-a-1')
      await sleep(8_000)
    }
  })
  expect(promises).toEqual(noBrokenPromises)
  expect(servedPart(8_000, 11_000)).toBeGreaterThanOrEqual(0.97)
})
