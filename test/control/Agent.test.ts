import { test } from 'node:test'
import { expect } from 'earl'
import { AgentGroup } from './AgentGroup.js'
import { sampleContract } from './sampleContract.js'
import { sampleDigest } from './sampleDigest.js'

const hosts = ['a-1', 'a-2', 'b-1', 'c-1', 'd-1', 'e-1', 'f-1']

// Guards against configurations that take longer than their limit of 6 s to reach every host.
test('an accepted contract reaches all entry processes', async (t) => {
  const group = new AgentGroup(hosts, '127.20.10')
  await group.startAll()
  const links = hosts.map((host) => group.connectEntry(host))
  await group.until(() => links.every((link) => link.config?.version === 1), 3_000)
  const written = await group.call('d-1', 'PUT', '/admin/v1/contracts/gyms', { contract: sampleContract(), expectVersion: 0, writeId: 'w1' })
  expect(written.status).toEqual(200)
  const tookMs = await group.until(() => links.every((link) => link.config?.version === 2), 6_000)
  t.diagnostic(`spread to 7 entry processes took ${tookMs.toFixed(0)} ms`)
  await group.stop()
})

// Guards against leaving or dead entry processes that other hosts still see as serving.
test('a digest and the loss of an entry process spread at once', async (t) => {
  const group = new AgentGroup(hosts, '127.20.11')
  await group.startAll()
  const link = group.connectEntry('a-2')
  const reader = group.connectEntry('f-1')
  await group.until(() => link.view !== undefined && reader.view !== undefined, 3_000)
  const see = (): ReturnType<typeof sampleDigest> | undefined => reader.view?.members.find(({ host }) => host === 'a-2')?.digest
  link.sendDigest(sampleDigest('a-2'))
  const digestMs = await group.until(() => see()?.serving === true, 2_000)
  link.sendDigest(sampleDigest('a-2', { leaving: true, seq: 2 }))
  const leavingMs = await group.until(() => see()?.leaving === true, 2_000)
  link.stop()
  const lossMs = await group.until(() => see()?.serving === false, 2_000)
  t.diagnostic(`first digest ${digestMs.toFixed(0)} ms, leaving ${leavingMs.toFixed(0)} ms, loss ${lossMs.toFixed(0)} ms`)
  await group.stop()
})
