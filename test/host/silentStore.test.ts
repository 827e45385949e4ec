import { test } from 'node:test'
import { expect } from 'earl'
import { HostGroup } from '../support/HostGroup.js'
import { createRouteDoc } from '../support/createRouteDoc.js'

/** Time in ms after connections fell silent from which hosts must be up to date again (`stable_window_s` of the platform). */
const recoveryMs = 4_000

const added = createRouteDoc('/added/')

/** Returns the statuses of requests on a route that was added after all connections to the store fell silent. */
async function sendAfterSilence (hosts: number): Promise<number[]> {
  const group = await HostGroup.start(hosts, 2)
  try {
    // All polls begin anew, so that the silence meets them early.
    group.putConfig({ 'r-other': createRouteDoc('/other/') })
    await new Promise((resolve) => setTimeout(resolve, 600))
    group.store.silenceOpenConnections()
    group.putConfig({ 'r-added': added })
    await new Promise((resolve) => setTimeout(resolve, recoveryMs))
    return await Promise.all(group.hosts.map(async (_host, index) => (await group.send({ path: '/added/1' }, index)).status))
  } finally {
    await group.stop()
  }
}

// Guards against hosts that miss all changes until a long poll times out on a connection that fell silent (review/3).
test('one host learns of changes within seconds after its connections to the store fell silent', async () => {
  expect(await sendAfterSilence(1)).toEqual([200])
})

test('all hosts learn of changes within seconds after all connections to the store fell silent', async () => {
  expect(await sendAfterSilence(4)).toEqual([200, 200, 200, 200])
})

// Guards against taking dead connections for an outage of the store, in which entries may lapse.
test('silent connections are no outage of the store', async () => {
  const group = await HostGroup.start(1, 2)
  try {
    await new Promise((resolve) => setTimeout(resolve, 600))
    group.store.silenceOpenConnections()
    await group.waitUntil(() => group.logger.lines.some((line) => line.includes('store-connection-lost')))
    await new Promise((resolve) => setTimeout(resolve, 1_000))
    expect(group.logger.lines.filter((line) => line.includes('store-lost'))).toEqual([])
  } finally {
    await group.stop()
  }
})
