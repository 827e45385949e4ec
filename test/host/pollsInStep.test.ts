import { test } from 'node:test'
import { expect } from 'earl'
import { HostGroup } from '../support/HostGroup.js'
import { createRouteDoc } from '../support/createRouteDoc.js'

/** Time in ms after connections fell silent from which hosts must be up to date again (`stable_window_s` of the platform). */
const recoveryMs = 4_000

const added = createRouteDoc('/added/')

// Guards against hosts deaf to the store for a whole poll because they started together and no change has spread their polls since.
test('hosts that started together learn of a change within seconds after all connections to the store fell silent', async () => {
  const group = await HostGroup.start(6, 2, ['north', 'south', 'west'])
  try {
    await new Promise((resolve) => setTimeout(resolve, 3_000))
    group.store.silenceOpenConnections()
    group.putConfig({ 'r-added': added })
    await new Promise((resolve) => setTimeout(resolve, recoveryMs))
    const statuses = await Promise.all(group.hosts.map(async (_host, index) => (await group.send({ path: '/added/1' }, index)).status))
    expect(statuses).toEqual(group.hosts.map(() => 200))
  } finally {
    await group.stop()
  }
})
