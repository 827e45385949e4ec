import { test } from 'node:test'
import { expect } from 'earl'
import { HostGroup } from '../support/HostGroup.js'
import { createRouteDoc } from '../support/createRouteDoc.js'

const added = createRouteDoc('/added/')
/** Time in ms from which a change must be in force, as in the hosts' settings, and for how long the last call before it may have proved the copy. */
const applyMs = 2_500
const proofMs = 200

/** Returns status and `Retry-After` of a request at each host. */
async function ask (group: HostGroup, call: Parameters<HostGroup['send']>[0]): Promise<unknown[]> {
  const answers = await Promise.all(group.hosts.map(async (_host, index) => await group.send(call, index)))
  return answers.map(({ status, headers }) => [status, headers['retry-after']])
}

// Guards against a proper request that ends with 404, which callers take as final, because the configuration is late (issue 44).
test('a route that was added while the store turns the hosts away is not denied', async () => {
  const group = await HostGroup.start(2, 2)
  try {
    for (const store of group.hostStores) store.isCut = true
    await new Promise((resolve) => setTimeout(resolve, proofMs))
    group.putConfig({ 'r-added': added })
    await new Promise((resolve) => setTimeout(resolve, applyMs))
    expect(await ask(group, { path: '/added/1' })).toEqual([[503, '0.300'], [503, '0.300']])
    expect(await ask(group, { path: '/read/1' })).toEqual([[200, undefined], [200, undefined]])
    for (const store of group.hostStores) store.isCut = false
    await new Promise((resolve) => setTimeout(resolve, applyMs))
    expect(await ask(group, { path: '/added/1' })).toEqual([[200, undefined], [200, undefined]])
  } finally {
    await group.stop()
  }
})

// Guards against a request that ends with 413 or 431 by limits that a newer configuration may have raised (issue 44).
test('limits of a configuration that is not confirmed deny nothing', async () => {
  const group = await HostGroup.start(1, 2)
  try {
    const large = [{ method: 'POST', path: '/order/1', body: 'x'.repeat(1_000_001) }, { object: 'y'.repeat(16_500) }]
    expect([await ask(group, large[0]), await ask(group, large[1])]).toEqual([[[413, undefined]], [[431, undefined]]])
    group.hostStores[0]!.isCut = true
    await new Promise((resolve) => setTimeout(resolve, proofMs + applyMs))
    expect([await ask(group, large[0]), await ask(group, large[1])]).toEqual([[[503, '0.300']], [[503, '0.300']]])
  } finally {
    await group.stop()
  }
})
