import { test } from 'node:test'
import { expect } from 'earl'
import { chooseReaders } from '../../src/peers/chooseReaders.js'
import { HostGroup } from '../support/HostGroup.js'

const hostCount = 3
const requestGapMs = 20

/** Sends requests to one host until `untilMs`, each for another object so that they reach all endpoints. */
async function sendUntil (group: HostGroup, host: number, untilMs: number): Promise<void> {
  const open: Array<Promise<unknown>> = []
  for (let index = 0; performance.now() < untilMs; index++) {
    open.push(group.send({ object: String(index) }, host))
    await new Promise((resolve) => setTimeout(resolve, requestGapMs))
  }
  await Promise.all(open)
}

// Guards against a host that sends requests to endpoints that have left for as long as its own calls to the store fail (DRAIN).
test('a reader that the store rejects stops using an endpoint whose entry is gone', async () => {
  const group = await HostGroup.start(hostCount, 4)
  try {
    const [reader] = chooseReaders(group.settings, 2)
    const index = group.settings.findIndex(({ name }) => name === reader)
    const { drainMs } = group.settings[index]!.bounds
    group.hostStores[index]!.isCut = true
    group.putConfig({})
    await new Promise((resolve) => setTimeout(resolve, 2_500))
    group.store.tables.remove('servers', 'e-0')
    const acknowledgedMs = performance.now()
    await sendUntil(group, index, acknowledgedMs + drainMs + 1_500)
    const late = group.endpoints[0]!.runs.filter(({ atMs }) => atMs > acknowledgedMs + drainMs)
    expect([late.length, group.endpoints[1]!.runs.length > 0]).toEqual([0, true])
  } finally {
    await group.stop()
  }
})

// Guards against keeping endpoints that left together until the drain time is over or nearly over.
test('endpoints that leave together get no requests after the drain time', async () => {
  const group = await HostGroup.start(1, 8)
  try {
    const { drainMs } = group.settings[0]!.bounds
    for (const id of ['e-0', 'e-1', 'e-2']) group.store.tables.remove('servers', id)
    const acknowledgedMs = performance.now()
    await sendUntil(group, 0, acknowledgedMs + drainMs + 500)
    const last = Math.max(...group.endpoints.slice(0, 3).flatMap(({ runs }) => runs.map(({ atMs }) => atMs)))
    // The rest of the drain time is for updates that are relayed and for links between regions.
    expect(last - acknowledgedMs <= drainMs - 500).toEqual(true)
  } finally {
    await group.stop()
  }
})
