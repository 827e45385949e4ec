import { test } from 'node:test'
import { expect } from 'earl'
import { catalogLimits } from '../../src/catalog/catalogLimits.js'
import { HostGroup } from '../support/HostGroup.js'
import { createRouteDoc } from '../support/createRouteDoc.js'

/** Time in ms within which a change must be in force everywhere (`config_apply_s` of the platform). */
const applyMs = 2_500
const awayMs = 300

const added = createRouteDoc('/added/')

async function sleep (ms: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, ms))
}

/** Runs a test with a group of three hosts. */
async function withGroup (run: (group: HostGroup) => Promise<void>): Promise<void> {
  const group = await HostGroup.start(3, 2)
  try {
    await run(group)
  } finally {
    await group.stop()
  }
}

/** Restores the store to a copy after it was away for a moment. */
async function restore (group: HostGroup, copy: ReturnType<HostGroup['store']['tables']['copy']>): Promise<void> {
  group.store.faults.down = 'reset'
  await sleep(awayMs)
  group.store.tables.restore(copy)
  group.store.faults.down = undefined
}

async function listStatuses (group: HostGroup, path: string): Promise<number[]> {
  return await Promise.all(group.hosts.map(async (_host, index) => (await group.send({ path }, index)).status))
}

// Guards against hosts that take what a restored store returns for older than their copies, by its versions.
test('a change after the store came back from an older copy is in force in time', async () => {
  await withGroup(async (group) => {
    const copy = group.store.tables.copy()
    for (const name of ['a', 'b', 'c', 'd']) group.putConfig({ [name]: { ...added, prefix: `/${name}/` } })
    await sleep(500)
    await restore(group, copy)
    await sleep(1_000)
    group.putConfig({ 'r-added': added })
    await sleep(applyMs)
    expect(await listStatuses(group, '/added/1')).toEqual([200, 200, 200])
  })
})

// Guards against requests to an endpoint that left in the time that the restored store has lost (DRAIN).
test('an endpoint known to leave gets no requests after a restore that lists it as ready', async () => {
  await withGroup(async (group) => {
    const copy = group.store.tables.copy()
    const [leaving, gone] = group.endpoints
    await group.addEndpoint('e-2')
    group.store.tables.put('servers', leaving!.id, leaving!.describe('stock', 'north-a', { state: 'draining' }))
    group.store.tables.remove('servers', gone!.id)
    await sleep(500)
    await restore(group, copy)
    const restoredMs = performance.now()
    await sleep(1_000)
    for (let index = 0; index < 30; index++) await group.send({ object: String(index) }, index % 3)
    const runs = group.endpoints.map((endpoint) => endpoint.runs.filter(({ atMs }) => atMs > restoredMs).length)
    expect(runs).toEqual([0, 0, 30])
  })
})

// Guards against an evacuation that ends because the store has lost the order (EVAC).
test('a zone stays evacuated after a restore to a copy without the order', async () => {
  await withGroup(async (group) => {
    const copy = group.store.tables.copy()
    group.store.tables.put('op', 'evacuate/north-a', {})
    await sleep(500)
    await restore(group, copy)
    await sleep(1_000)
    expect(await listStatuses(group, '/read/1')).toEqual([503, 503, 503])
  })
})

// Guards against an evacuation without end: an order that isn't written again after a restore has been taken back.
test('a lost order that is not written again ends', async () => {
  await withGroup(async (group) => {
    const copy = group.store.tables.copy()
    group.store.tables.put('op', 'evacuate/north-a', {})
    await sleep(500)
    await restore(group, copy)
    await sleep(catalogLimits.restoreGraceMs.orders + 1_000)
    expect(await listStatuses(group, '/read/1')).toEqual([200, 200, 200])
  })
})

// Guards against a host that starts after a restore and serves an older configuration than the others have in force.
test('a host that starts after a restore gets the newest configuration from the others', async () => {
  await withGroup(async (group) => {
    const copy = group.store.tables.copy()
    group.putConfig({ 'r-added': added })
    await sleep(500)
    await restore(group, copy)
    await sleep(1_000)
    await group.addHost('host-3', { orders: 1_000 })
    await group.waitUntil(() => group.hosts[3]!.isReady)
    expect(await listStatuses(group, '/added/1')).toEqual([200, 200, 200, 200])
  })
})

// Guards against hosts that later ones don't find, since a host wrote its registration once and the store has lost it.
test('a host whose registration a restore has lost registers again', async () => {
  await withGroup(async (group) => {
    const copy = group.store.tables.copy()
    await group.addHost('host-3')
    await group.waitUntil(() => group.store.tables.get('hosts', 'host-3') !== undefined)
    await sleep(500)
    await restore(group, copy)
    await sleep(2_000)
    expect(group.store.tables.list('hosts', '').map(({ key }) => key)).toEqual(['host-0', 'host-1', 'host-2', 'host-3'])
    expect(group.logger.lines.filter((line) => line.startsWith('info registered')).length).toEqual(5)
  })
})
