import { test } from 'node:test'
import { expect } from 'earl'
import { chooseReaders } from '../../src/peers/chooseReaders.js'
import { HostGroup } from '../support/HostGroup.js'

const hostCount = 4
/** Time in ms after which a long poll without a response fails. */
const pollMs = 11_000
/** `config_apply_s` of the platform in ms. */
const configApplyMs = 2_500

const added = { host: 'shop.example', prefix: '/added/', kind: 'idempotent', timeout_s: 1, target_latency_s: 0.5, priority: 2, service: 'stock', max_attempts: 2, session_affinity: false, allowed_regions: [] }

// Guards against hosts deaf to a table because the readers' calls for it get no response, while the readers count as connected.
test('a change reaches the other hosts while the readers get no responses for its table', async () => {
  const group = await HostGroup.start(hostCount, 2)
  try {
    const readers = chooseReaders(group.settings, 2)
    const others = group.settings.flatMap(({ name }, index) => readers.has(name) ? [] : [index])
    for (const [index, { name }] of group.settings.entries()) if (readers.has(name)) group.hostStores[index]!.delaysMs = { orders: pollMs }
    // Ends the readers' polls, so that their next calls get no response.
    group.putConfig({})
    await new Promise((resolve) => setTimeout(resolve, 4_000))
    group.putConfig({ 'r-added': added })
    await new Promise((resolve) => setTimeout(resolve, configApplyMs))
    const statuses = await Promise.all(others.map(async (index) => (await group.send({ path: '/added/1' }, index)).status))
    expect(statuses).toEqual(others.map(() => 200))
  } finally {
    await group.stop()
  }
})
