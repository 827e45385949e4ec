import { test } from 'node:test'
import { expect } from 'earl'
import { ManualClock } from '../../src/common/ManualClock.js'
import { OperatorAuth } from '../../src/control/OperatorAuth.js'
import { AgentGroup } from './AgentGroup.js'
import { sampleContract } from './sampleContract.js'
import { sampleDigest } from './sampleDigest.js'

// Guards against credential guessing, and against wrong attempts from one address that block other addresses.
test('wrong credentials are counted and throttled per address', () => {
  const clock = new ManualClock()
  const hash = '34b0bca3abbe2a8e8b5a8f2d4fe3e3e4f9d1cb1f5c4e1c9b2f7c5f0c3ed5a1d2'
  const auth = new OperatorAuth([{ name: 'anna', credentialHash: hash }], clock)
  for (let i = 0; i < 20; i += 1) expect(auth.authenticate(`guess-${i}`, '1.1.1.1')._unsafeUnwrapErr().name).toEqual('operatorDenied')
  const failure = auth.authenticate('guess', '1.1.1.1')._unsafeUnwrapErr()
  expect({ name: failure.name, waits: (failure.retryAfterMs ?? 0) > 0 }).toEqual({ name: 'credentialThrottled', waits: true })
  expect(auth.authenticate(undefined, '2.2.2.2')._unsafeUnwrapErr().name).toEqual('operatorDenied')
  expect(auth.wrongCount).toEqual(21)
  clock.advance(60_001)
  expect(auth.authenticate('x', '1.1.1.1')._unsafeUnwrapErr().name).toEqual('operatorDenied')
})

// Guards against wrong responses of the operators' interface, and against responses without a valid credential.
test('operators read and change the configuration over HTTP', async (t) => {
  const group = new AgentGroup(t, ['a-1', 'b-1'], '127.20.12')
  await group.startAll()
  const entry = group.connectEntry('a-1')
  await group.waitUntil(() => entry.view !== undefined, 3_000)
  expect((await group.callOperatorApi('a-1', 'GET', '/admin/v1/status', undefined, 'wrong')).body.name).toEqual('operatorDenied')
  const dry = await group.callOperatorApi('a-1', 'PUT', '/admin/v1/contracts/gyms?dryRun=1', { contract: sampleContract(), expectVersion: 0 })
  expect(dry.body).toEqual({ dryRun: true, version: 2, change: 'contract gyms: created' })
  const bad = await group.callOperatorApi('a-1', 'PUT', '/admin/v1/contracts/gyms', { contract: { ...sampleContract(), rate: -1 }, expectVersion: 0 })
  expect({ status: bad.status, code: bad.body.code, outcome: bad.body.outcome, place: String(bad.body.message).includes('not valid: rate: ') }).toEqual({ status: 422, code: 6006, outcome: 'not-run', place: true })
  expect((await group.callOperatorApi('a-1', 'PUT', '/admin/v1/contracts/gyms', { contract: sampleContract(), expectVersion: 0, writeId: 'w1' })).body.version).toEqual(2)
  expect((await group.callOperatorApi('b-1', 'GET', '/admin/v1/writes/w1')).body.outcome).toEqual('accepted')
  const use = { customer: 'gyms', inFlight: 3, rate: 5, rateHeld: 35, permitsHeld: 7 }
  entry.sendDigest(sampleDigest('a-1', { appliedVersion: 2, uses: [use], drainInFlight: { 'stock-b': 4 } }))
  await group.waitUntil(() => group.findMember('b-1', 'a-1')?.digest?.appliedVersion === 2 && group.getAgent('b-1').holder.version === 2, 2_000)
  expect((await group.callOperatorApi('b-1', 'GET', '/admin/v1/limits/gyms')).body.use).toEqual({ inFlight: 3, rate: 5 })
  await group.callOperatorApi('b-1', 'POST', '/admin/v1/drains', { kind: 'upstream', name: 'stock-b', writeId: 'w2' })
  const drains = (await group.callOperatorApi('b-1', 'GET', '/admin/v1/drains')).body.drains as Array<Record<string, unknown>>
  expect(drains.map(({ name, by, inFlight, complete }) => ({ name, by, inFlight, complete }))).toEqual([{ name: 'stock-b', by: 'anna', inFlight: 4, complete: false }])
  expect((await group.callOperatorApi('b-1', 'DELETE', '/admin/v1/drains/upstream/stock-b')).status).toEqual(200)
  await group.waitUntil(() => group.findMember('b-1', 'a-1')?.configVersion === 4, 2_000)
  const config = (await group.callOperatorApi('b-1', 'GET', '/admin/v1/config')).body
  expect({ version: config.version, hosts: config.hosts }).toEqual({
    version: 4,
    hosts: [
      { host: 'a-1', zone: 'a', reachable: true, agentVersion: 4, appliedVersion: 2 },
      { host: 'b-1', zone: 'b', reachable: true, agentVersion: 4, appliedVersion: 0 }
    ]
  })
  expect((await group.callOperatorApi('a-1', 'POST', '/admin/v1/explain', { customer: 'gyms', service: 'stock', method: 'GET', path: '/x' })).body.steps).toEqual([{ step: 'admission', detail: 'gyms' }])
  expect((await group.callOperatorApi('b-1', 'POST', '/admin/v1/explain', { customer: 'gyms', service: 'stock' })).body.name).toEqual('notReady')
  expect((await group.callOperatorApi('a-1', 'GET', '/admin/v1/status?compare=1')).body.differences).toEqual([])
  expect((await group.callOperatorApi('a-1', 'GET', '/health/ready')).status).toEqual(200)
  expect((await group.callOperatorApi('a-1', 'GET', '/admin/v1/nonsense')).body.name).toEqual('unknownItem')
  const metrics = await (await fetch(`http://${group.getAddress('a-1')}:8085/metrics`)).text()
  expect(metrics.includes('shunt_agent_config_version 4')).toEqual(true)
})
