import { test } from 'node:test'
import { expect } from 'earl'
import { HostGroup } from '../support/HostGroup.js'

const added = { host: 'shop.example', prefix: '/added/', kind: 'idempotent', timeout_s: 1, target_latency_s: 0.5, priority: 2, service: 'stock', max_attempts: 2, session_affinity: false, allowed_regions: [] }
/** Time in ms from which a change must be in force, as in the hosts' settings, and for how long the last call before it may have proved the copy. */
const applyMs = 2_500
const proofMs = 200

// Guards against a proper request that ends with 404, which callers take as final, because the configuration is late (issue 44).
test('a route that was added while the store turns the hosts away is not denied', async () => {
  const group = await HostGroup.start(2, 2)
  try {
    for (const store of group.hostStores) store.isCut = true
    await new Promise((resolve) => setTimeout(resolve, proofMs))
    group.putConfig({ 'r-added': added })
    await new Promise((resolve) => setTimeout(resolve, applyMs))
    const answers = await Promise.all(group.hosts.map(async (_host, index) => await group.send({ path: '/added/1' }, index)))
    expect(answers.map(({ status, headers }) => [status, headers['retry-after']])).toEqual([[503, '0.300'], [503, '0.300']])
    const known = await Promise.all(group.hosts.map(async (_host, index) => (await group.send({ path: '/read/1' }, index)).status))
    expect(known).toEqual([200, 200])
    for (const store of group.hostStores) store.isCut = false
    await new Promise((resolve) => setTimeout(resolve, applyMs))
    const back = await Promise.all(group.hosts.map(async (_host, index) => (await group.send({ path: '/added/1' }, index)).status))
    expect(back).toEqual([200, 200])
  } finally {
    await group.stop()
  }
})
