import { test } from 'node:test'
import { expect } from 'earl'
import { HostGroup } from '../support/HostGroup.js'

// Guards against a restarted host that uses an endpoint that has left, since a host that is cut off from the store told it so.
// The other tables are read at once, which must not count as a read of the endpoints.
test('a restarted host doesn\'t send to an endpoint that has left', async () => {
  const group = await HostGroup.start(2, 2)
  await group.hosts[1]!.stop()
  group.hostStores[0]!.isCut = true
  group.store.tables.remove('servers', 'e-0')
  group.endpoints[0]!.runs.length = 0
  await group.addHost('host-1', { endpoints: 500 })
  const statuses = new Set<number>()
  const untilMs = performance.now() + 2_000
  for (let index = 0; performance.now() < untilMs; index++) {
    statuses.add((await group.send({ object: String(index) }, 2)).status)
    await new Promise((resolve) => setTimeout(resolve, 10))
  }
  await group.stop()
  expect([group.endpoints[0]!.runs.length, [...statuses].sort()]).toEqual([0, [200, 503]])
})

// Guards against a host that waits for the store although none of the hosts reaches it.
test('a host that restarts during a store outage serves with the tables of its peers', async () => {
  const group = await HostGroup.start(2, 2)
  await group.hosts[1]!.stop()
  group.store.faults.down = 'silence'
  const startMs = performance.now()
  const host = await group.addHost('host-1')
  await group.waitUntil(() => host.isReady)
  const elapsedMs = performance.now() - startMs
  expect([elapsedMs < 1_500, (await group.send({}, 2)).status]).toEqual([true, 200])
  await group.stop()
})

// Guards against aborting or repeating the work of an endpoint whose entry lapsed because its heartbeats were late.
test('a request at an endpoint whose entry vanishes is answered and runs once', async () => {
  const group = await HostGroup.start(2, 2)
  for (const endpoint of group.endpoints) endpoint.serviceMs = 600
  const answers = Promise.all(['POST', 'GET'].map(async (method, index) => await group.send({ method, path: method === 'POST' ? '/order/' : '/read/1', id: `q-${index}` })))
  await group.waitUntil(() => group.endpoints.flatMap((endpoint) => endpoint.runs).length === 2)
  for (const endpoint of group.endpoints) group.store.tables.remove('servers', endpoint.id)
  expect((await answers).map(({ status }) => status)).toEqual([200, 200])
  expect(group.endpoints.flatMap((endpoint) => endpoint.runs.map((run) => run.id)).sort()).toEqual(['q-0', 'q-1'])
  await group.stop()
})
