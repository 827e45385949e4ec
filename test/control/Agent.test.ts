import { test } from 'node:test'
import { expect } from 'earl'
import { AgentGroup } from './AgentGroup.js'
import { MemoryPlatform } from './MemoryPlatform.js'
import { sampleContract } from './sampleContract.js'
import { sampleDeployment } from './sampleDeployment.js'
import { sampleDigest } from './sampleDigest.js'

const hosts = ['a-1', 'a-2', 'b-1', 'c-1', 'd-1', 'e-1', 'f-1']

// Guards against configurations that take longer than the limit of 6 s to reach every host.
test('an accepted contract reaches all entry processes', async (t) => {
  const group = new AgentGroup(t, hosts, '127.20.10')
  await group.startAll()
  const links = hosts.map((host) => group.connectEntry(host))
  await group.waitUntil(() => links.every((link) => link.config?.version === 1), 3_000)
  const written = await group.callOperatorApi('d-1', 'PUT', '/admin/v1/contracts/gyms', { contract: sampleContract(), expectVersion: 0, writeId: 'w1' })
  expect(written.status).toEqual(200)
  const tookMs = await group.waitUntil(() => links.every((link) => link.config?.version === 2), 6_000)
  t.diagnostic(`spread to 7 entry processes took ${tookMs.toFixed(0)} ms`)
})

// Guards against leaving or dead entry processes that other hosts still list as serving.
test('a digest and the loss of an entry process reach other hosts at once', async (t) => {
  const group = new AgentGroup(t, hosts, '127.20.11')
  await group.startAll()
  const link = group.connectEntry('a-2')
  const reader = group.connectEntry('f-1')
  await group.waitUntil(() => link.view !== undefined && reader.view !== undefined, 3_000)
  const findDigest = (): ReturnType<typeof sampleDigest> | undefined => reader.view?.members.find(({ host }) => host === 'a-2')?.digest
  link.sendDigest(sampleDigest('a-2'))
  const digestMs = await group.waitUntil(() => findDigest()?.serving === true, 2_000)
  link.sendDigest(sampleDigest('a-2', { leaving: true, seq: 2 }))
  const leavingMs = await group.waitUntil(() => findDigest()?.leaving === true, 2_000)
  link.stop()
  const lossMs = await group.waitUntil(() => findDigest()?.serving === false, 2_000)
  t.diagnostic(`first digest ${digestMs.toFixed(0)} ms, leaving ${leavingMs.toFixed(0)} ms, loss ${lossMs.toFixed(0)} ms`)
})

// Guards against a restarted agent that waits for the platform or applies an older configuration.
test('a restarted agent pulls the highest version from its peers while the platform is down', async (t) => {
  const group = new AgentGroup(t, hosts, '127.20.13')
  await group.startAll()
  await group.callOperatorApi('a-1', 'PUT', '/admin/v1/contracts/gyms', { contract: sampleContract(), expectVersion: 0, writeId: 'w1' })
  await group.stopAgent('c-1')
  group.platform.isDown = true
  await group.start('c-1')
  const tookMs = await group.waitUntil(() => group.getAgent('c-1').holder.version === 2, 6_000)
  t.diagnostic(`the restarted agent had the configuration after ${tookMs.toFixed(0)} ms`)
  const refused = await group.callOperatorApi('c-1', 'PUT', '/admin/v1/contracts/gyms', { contract: sampleContract(), expectVersion: 2, writeId: 'w2' })
  expect({ name: refused.body.name, outcome: refused.body.outcome }).toEqual({ name: 'platformUnavailable', outcome: 'not-run' })
})

// Guards against a withdrawn credential that a restarted agent accepts again, since an agent that is cut off told it so.
test('a restarted agent applies no older configuration of its peers while it reads the platform', async (t) => {
  const group = new AgentGroup(t, ['a-1', 'b-1'], '127.20.16')
  const cutPlatform = new MemoryPlatform(group.platform.rows, group.platform.bytes)
  const unreachable = `${group.getAddress('a-1')}:1`
  await group.start('a-1', { [`${group.getAddress('b-1')}:8084`]: unreachable }, cutPlatform)
  await group.start('b-1', { [`${group.getAddress('a-1')}:8084`]: unreachable })
  const load = { kind: 'deployment', deployment: sampleDeployment(group.hosts, '127.20.16'), expectVersion: undefined, force: false } as const
  const loaded = await group.getAgent('b-1').writer.write({ writeId: 'load', by: 'anna', change: load })
  loaded._unsafeUnwrap()
  await group.waitUntil(() => group.getAgent('a-1').holder.version === 1, 3_000)
  cutPlatform.isDown = true
  await group.callOperatorApi('b-1', 'PUT', '/admin/v1/contracts/gyms', { contract: sampleContract(), expectVersion: 0, writeId: 'w1' })
  expect([group.getAgent('a-1').holder.version, group.getAgent('b-1').holder.version]).toEqual([1, 2])
  await group.stopAgent('b-1')
  group.platform.readDelayMs = 700
  const starting = group.start('b-1')
  const applied: number[] = []
  group.getAgent('b-1').holder.on('applied', ({ doc }) => applied.push(doc.version))
  await starting
  expect(applied).toEqual([2])
})

// Guards against an agent that has no configuration for as long as a read of the platform takes.
test('a restarted agent applies the configuration of its peers while the platform is slow', async (t) => {
  const group = new AgentGroup(t, ['a-1', 'b-1'], '127.20.19')
  await group.startAll()
  await group.stopAgent('b-1')
  group.platform.readDelayMs = 4_000
  const starting = group.start('b-1')
  const elapsedMs = await group.waitUntil(() => group.getAgent('b-1').holder.version === 1, 3_900)
  expect(elapsedMs < 3_000).toEqual(true)
  await starting
})

// Guards against hosts that keep using upstreams that the platform lists as leaving, and against too many reads of the platform.
test('one host per zone reads the platform list and it reaches all hosts', async (t) => {
  const group = new AgentGroup(t, ['a-1', 'a-2', 'a-3', 'b-1'], '127.20.14')
  await group.startAll()
  group.platform.listedHosts = [{ name: 'stock-b', kind: 'upstream', state: 'leaving' }, { name: 'a-3', kind: 'entry', state: 'leaving' }, { name: 'a-2', kind: 'entry', state: 'live' }]
  await group.waitUntil(() => group.hosts.every((host) => group.getAgent(host).getLeavingListing().endpoints[0] === 'stock-b'), 3_000)
  expect(group.getAgent('a-2').getLeavingListing()).toEqual({ endpoints: ['stock-b'], hosts: ['a-3'] })
  const before = group.platform.tableReads
  await new Promise((resolve) => setTimeout(resolve, 2_100))
  expect(group.platform.tableReads - before <= 6).toEqual(true)
  group.platform.isDown = true
  const paused = group.platform.tableReads
  await new Promise((resolve) => setTimeout(resolve, 3_100))
  expect(group.platform.tableReads - paused <= 2).toEqual(true)
})

// Guards against an upstream that a restarted host uses again although the platform lists it as leaving.
test('the first view after a restart lists the leaving upstreams', async (t) => {
  const group = new AgentGroup(t, ['a-1', 'a-2', 'b-1'], '127.20.18')
  await group.startAll()
  group.platform.listedHosts = [{ name: 'stock-b', kind: 'upstream', state: 'leaving' }]
  await group.waitUntil(() => group.hosts.every((host) => group.getAgent(host).getLeavingListing().endpoints[0] === 'stock-b'), 3_000)
  await group.stopAgent('a-2')
  const link = group.connectEntry('a-2', 2)
  const listed: string[][] = []
  link.on('view', (view) => { if (view.configVersion > 0) listed.push([...view.leavingEndpoints]) })
  await group.start('a-2')
  await group.waitUntil(() => listed.length >= 2, 3_000)
  expect(listed.slice(0, 2)).toEqual([['stock-b'], ['stock-b']])
})

// Guards against views that stop, and against views that repeat the whole configuration.
test('views are sent every 500 ms and include the configuration once', async (t) => {
  const group = new AgentGroup(t, ['a-1'], '127.20.15')
  await group.startAll()
  const link = group.connectEntry('a-1')
  let configs = 0
  const seqs: number[] = []
  link.on('config', () => { configs += 1 })
  link.on('view', ({ seq }) => seqs.push(seq))
  await new Promise((resolve) => setTimeout(resolve, 2_300))
  expect(seqs.length >= 4).toEqual(true)
  expect(seqs.every((seq, i) => i === 0 || seq === seqs[i - 1]! + 1)).toEqual(true)
  expect(configs).toEqual(1)
})
