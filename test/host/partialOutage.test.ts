import { test } from 'node:test'
import { expect } from 'earl'
import type { CatalogTable } from '../../src/catalog/CatalogTable.js'
import { chooseReaders } from '../../src/peers/chooseReaders.js'
import { HostGroup } from '../support/HostGroup.js'
import { createRouteDoc } from '../support/createRouteDoc.js'

const hostCount = 4
/** Time in ms after which a long poll without a response fails. */
const pollMs = 11_000
/** `config_apply_s` of the platform in ms. */
const configApplyMs = 2_500

/** Time in ms in which all hosts of the test have a change. */
const settleMs = 500

const added = createRouteDoc('/added/')

/** Starts hosts whose readers' calls for a table get no response, and returns them with the indexes of the other hosts. */
async function startWithoutReaders (table: CatalogTable): Promise<{ group: HostGroup, others: number[] }> {
  const group = await HostGroup.start(hostCount, 2)
  const readers = chooseReaders(group.settings, 2)
  const others = group.settings.flatMap(({ name }, index) => readers.has(name) ? [] : [index])
  for (const [index, { name }] of group.settings.entries()) if (readers.has(name)) group.hostStores[index]!.delaysMs = { [table]: pollMs }
  return { group, others }
}

/** Adds a route some time after the readers' calls for the configuration stopped getting responses, and returns the statuses of requests on it at the other hosts. */
async function addWithoutReaders (pauseMs: number): Promise<number[]> {
  const { group, others } = await startWithoutReaders('orders')
  try {
    // Ends the readers' polls, so that their next calls get no response.
    group.putConfig({})
    await new Promise((resolve) => setTimeout(resolve, pauseMs))
    group.putConfig({ 'r-added': added })
    await new Promise((resolve) => setTimeout(resolve, configApplyMs))
    return await Promise.all(others.map(async (index) => (await group.send({ path: '/added/1' }, index)).status))
  } finally {
    await group.stop()
  }
}

// Guards against hosts deaf to a table because the readers' calls for it get no response, while the readers count as connected.
test('a change reaches the other hosts while the readers get no responses for its table', async () => {
  expect(await addWithoutReaders(4_000)).toEqual([200, 200])
})

// Guards against hosts that ask the store themselves only when the time to apply a change is over (issue 44).
test('a change reaches the other hosts in time when the readers get no responses from just before it', async () => {
  expect(await addWithoutReaders(settleMs)).toEqual([200, 200])
})

// Guards against the same with endpoints that leave: requests reach them for longer than the drain time (issues 41 and 44).
test('a leaving reaches the other hosts in time when the readers get no responses from just before it', async () => {
  const { group, others } = await startWithoutReaders('endpoints')
  try {
    const [stays, leaves] = group.endpoints
    // Ends the readers' polls, so that their next calls get no response.
    group.store.tables.put('servers', stays!.id, stays!.describe('stock', 'north-a', { version: 'v2' }))
    await new Promise((resolve) => setTimeout(resolve, settleMs))
    group.store.tables.put('servers', leaves!.id, leaves!.describe('stock', 'north-a', { state: 'draining' }))
    await new Promise((resolve) => setTimeout(resolve, group.settings[0]!.bounds.drainMs))
    const before = leaves!.runs.length
    const statuses = await Promise.all(others.map(async (index) => (await group.send({ object: String(index) }, index)).status))
    expect([statuses, leaves!.runs.length - before]).toEqual([others.map(() => 200), 0])
  } finally {
    await group.stop()
  }
})
