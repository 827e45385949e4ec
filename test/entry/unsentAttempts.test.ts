import { after, before, test } from 'node:test'
import { err } from 'neverthrow'
import { expect } from 'earl'
import { createFailure } from '../../src/common/createFailure.js'
import { GatewayFixture, call, createEndpoint, createHost, pause } from './fakes.js'

const first = new GatewayFixture('127.22.18.1')
const owner = new GatewayFixture('127.22.18.2', {}, 'g')
let requests = 0
const connections = new Set<unknown>()

before(async () => {
  await first.start()
  await owner.start()
  await owner.startUpstream(9_001, (req, res) => {
    requests += 1
    connections.add(req.socket)
    res.setHeader('Shunt-Request-Id', req.headers['shunt-request-id']!)
    req.resume()
    req.on('end', () => res.end('whole'))
  })
  await owner.startUpstream(9_002, (_req, res) => { setTimeout(() => res.writeHead(503, { 'upstream-not-run': '1' }).end(), 60) })
})
after(async () => {
  await first.stop()
  await owner.stop()
})

// Guards against an order on a kept connection, where a reset or the copy of a refusal would leave its outcome in doubt.
test('each order gets a connection of its own to the endpoint, also by way of its owner', async () => {
  const endpoint = createEndpoint('e9001', `${owner.address}:9001`)
  owner.steering.targets = [endpoint]
  for (const target of [endpoint, createHost('g', owner.address)]) {
    first.steering.targets = [target]
    connections.clear()
    for (let round = 0; round < 3; round++) {
      await call(first.address, '/stock')
      await pause(10)
    }
    expect(connections.size).toEqual(1)
    for (let round = 0; round < 3; round++) {
      first.claims.answer = undefined
      await call(first.address, '/orders', { method: 'POST', body: '{}', headers: { 'idempotency-key': 'k' } })
    }
    expect(connections.size).toEqual(4)
  }
})

// Guards against a hedge that is sent after the first attempt has failed and the caller was told that the request wasn't run.
test('a hedge whose target is chosen after the first attempt failed is not sent', async () => {
  const fast = createEndpoint('e9001', `${owner.address}:9001`)
  const slow = createEndpoint('e9002', `${owner.address}:9002`)
  first.steering.targets = [fast]
  for (let count = 0; count < 32; count++) await call(first.address, '/stock')
  requests = 0
  const choose = first.steering.choose.bind(first.steering)
  let choices = 0
  first.steering.choose = async (request) => {
    choices += 1
    if (choices === 3) return err(createFailure('noCapacity'))
    first.steering.targets = choices === 1 ? [slow] : [fast]
    if (choices === 2) await pause(150)
    return await choose(request)
  }
  const { headers } = await call(first.address, '/stock')
  await pause(200)
  first.steering.choose = choose
  expect([choices, first.metrics.events.includes('hedged'), headers['shunt-outcome'], requests]).toEqual([3, true, 'not-run', 0])
})
