import { createServer } from 'node:http'
import { connect, createServer as createTcpServer } from 'node:net'
import { after, before, beforeEach, test } from 'node:test'
import { expect } from 'earl'
import { InternalAuth } from '../../src/entry/InternalAuth.js'
import { GatewayFixture, call, clock, clusterKey, createEndpoint, createHost, pause } from './fakes.js'

const first = new GatewayFixture('127.22.3.1')
const owner = new GatewayFixture('127.22.3.2', {}, 'g')
const order = { method: 'POST', body: '{}', headers: { 'idempotency-key': 'k' } }
let runs = 0

before(async () => {
  await first.start()
  await owner.start()
  first.steering.targets = [createHost('g', owner.address)]
  await owner.startUpstream(9_001, (req, res) => { runs += 1; req.resume(); req.on('end', () => res.end(JSON.stringify(req.headers))) })
  await owner.startUpstream(9_002, (req) => { runs += 1; req.socket.resetAndDestroy() })
  await owner.startUpstream(9_003, (_req, res) => res.end(Buffer.alloc(1 << 20, 7)))
  await owner.startUpstream(9_004, (_req, res) => { res.write(Buffer.alloc(200_000)); setTimeout(() => res.destroy(), 30) })
})
beforeEach(() => {
  runs = 0
  first.claims.settled.length = 0
  first.claims.answer = undefined
  first.steering.results.length = 0
})
after(async () => {
  await first.stop()
  await owner.stop()
})

function setTarget (port: number): void {
  owner.steering.targets = [createEndpoint(`e${port}`, `${owner.address}:${port}`)]
}

// Guards against forwarding that loses headers, sends the signature to endpoints, or admits a request twice.
test('a forwarded order reaches the owner\'s endpoint once', async () => {
  setTarget(9_001)
  const answer = await call(first.address, '/orders', order)
  const seen = JSON.parse(answer.body)
  expect([answer.status, runs, seen['idempotency-key'], seen['shunt-internal'], seen['shunt-once'], seen['shunt-customer']]).toEqual([200, 1, 'k', undefined, undefined, 'a'])
  expect([first.claims.settled, owner.claims.settled, owner.admission.permits.length, first.steering.results]).toEqual([['done'], [], 0, ['ok']])
})

// Guards against a change of the outcome between the owner and the caller.
test('the outcome at the owner reaches the caller', async () => {
  setTarget(9_002)
  const unknown = await call(first.address, '/orders', order)
  expect([unknown.headers['shunt-code'], unknown.headers['shunt-outcome'], unknown.headers['shunt-endpoint'], runs]).toEqual(['5002', 'unknown', undefined, 1])
  setTarget(9_099)
  const notRun = await call(first.address, '/orders', order)
  expect([notRun.headers['shunt-code'], notRun.headers['shunt-outcome'], first.claims.settled]).toEqual(['3001', 'not-run', ['unknown', 'not-run']])
})

// Guards against a false "not run" that passes through two hosts, also from an owner that passes such a status on.
test('an order that ran at the owner\'s endpoint is not answered 503', async () => {
  owner.steering.targets = [await owner.startUpstream(9_006, (_req, res) => { res.writeHead(503); res.end() })]
  const replaced = await call(first.address, '/orders', order)
  const passing = createServer((req, res) => { res.writeHead(503, { 'Shunt-Request-Id': String(req.headers['shunt-request-id']) }).end() })
  await new Promise<void>((resolve) => passing.listen(8_081, '127.22.3.5', resolve))
  first.steering.targets = [createHost('p', '127.22.3.5')]
  const passedOn = await call(first.address, '/orders', order)
  first.steering.targets = [createHost('g', owner.address)]
  passing.close()
  expect([replaced, passedOn].map(({ status, headers }) => [status, headers['shunt-code'], headers['shunt-outcome']])).toEqual([[502, '5008', 'unknown'], [502, '5008', 'unknown']])
  expect([owner.metrics.events.includes('replaced 503'), first.claims.settled]).toEqual([true, ['unknown', 'unknown']])
})

// Guards against reporting `not-run` after the connection to the owner broke, although the order may be running.
test('after a broken connection to the owner the outcome of orders is unknown and reads are retried', async () => {
  const breaking = createTcpServer((socket) => { socket.on('error', () => {}); socket.once('data', () => socket.resetAndDestroy()) })
  await new Promise<void>((resolve) => breaking.listen(8_081, '127.22.3.3', resolve))
  setTarget(9_001)
  first.steering.targets = [createHost('b', '127.22.3.3'), createHost('g', owner.address)]
  const unknown = await call(first.address, '/orders', order)
  const read = await call(first.address, '/stock')
  first.steering.targets = [createHost('none', '127.22.3.4'), createHost('g', owner.address)]
  const moved = await call(first.address, '/orders', order)
  first.steering.targets.shift()
  breaking.close()
  expect([unknown.headers['shunt-code'], unknown.headers['shunt-outcome'], read.status, moved.status]).toEqual(['5007', 'unknown', 200, 200])
})

// Guards against long responses that lose bytes while they wait for link bandwidth, or look complete when truncated.
test('a long response is delivered completely or fails', async () => {
  owner.steering.linkWaitMs = 2
  first.steering.linkWaitMs = 2
  setTarget(9_003)
  const whole = await call(first.address, '/stock')
  expect([whole.body.length, whole.body.replaceAll('\u0007', '')]).toEqual([1 << 20, ''])
  setTarget(9_004)
  expect(await call(first.address, '/stock').then(() => false, () => true)).toEqual(true)
  owner.steering.linkWaitMs = 0
  first.steering.linkWaitMs = 0
})

// Guards against an upload that loses bytes on two hops, or continues after its caller disconnected.
test('an upload is forwarded completely', async () => {
  let received = 0
  await owner.startUpstream(9_005, (req, res) => { req.on('data', (chunk: Buffer) => { received += chunk.length }); req.on('end', () => res.end('done')) })
  setTarget(9_005)
  first.steering.linkWaitMs = 2
  const answer = await call(first.address, '/intake', { method: 'POST', body: Buffer.alloc(3_000_000) })
  first.steering.linkWaitMs = 0
  expect([answer.body, received]).toEqual(['done', 3_000_000])
})

// Guards against callers that bypass their contract through the internal port.
test('a forwarded request with a missing, invalid or old signature is refused', async () => {
  setTarget(9_001)
  const signed = { method: 'GET', path: '/stock', requestId: 'i' }
  const good = new InternalAuth(clusterKey, clock).sign('h', signed)
  const old = new InternalAuth(clusterKey, { nowMs: () => 0, wallMs: () => Date.now() - 31_000 }).sign('h', signed)
  const foreign = new InternalAuth('x'.repeat(32), clock).sign('h', signed)
  const send = async (path: string, value?: string): Promise<string | string[] | undefined> => (await call(owner.address, path, {
    port: 8_081, headers: { 'shunt-request-id': 'i', ...(value === undefined ? {} : { 'shunt-internal': value }) }
  })).headers['shunt-code']
  expect([await send('/stock', good), await send('/stock/x', good), await send('/stock', old), await send('/stock', foreign), await send('/stock')])
    .toEqual([undefined, '7004', '7004', '7004', '7004'])
})

// Guards against sending an order after its claim expired while it waited at the owner.
test('the owner does not send a request with an expired claim', async () => {
  setTarget(9_001)
  const chooseOwned = owner.steering.chooseOwned.bind(owner.steering)
  owner.steering.chooseOwned = async (request) => { await pause(2_100); return await chooseOwned(request) }
  const answer = await call(first.address, '/orders', { ...order, headers: { ...order.headers, 'shunt-deadline-ms': '2500' } })
  owner.steering.chooseOwned = chooseOwned
  expect([answer.headers['shunt-code'], runs]).toEqual(['5003', 0])
})

// Guards against an order that is sent although its claim expired while the forwarded request was delayed, or its receiver paused.
test('a forwarded order that was delayed beyond its claim is not sent', async () => {
  setTarget(9_001)
  const signed = { method: 'POST', path: '/orders', requestId: 'i' }
  const send = async (ageMs: number): Promise<unknown> => {
    const signature = new InternalAuth(clusterKey, { nowMs: () => 0, wallMs: () => Date.now() - ageMs }).sign('h', signed)
    const headers = { 'shunt-request-id': 'i', 'shunt-internal': signature, 'shunt-claim-ms': '2000', 'shunt-once': '1', 'idempotency-key': 'k' }
    return (await call(owner.address, '/orders', { ...order, port: 8_081, headers })).headers['shunt-outcome']
  }
  expect([await send(3_000), runs]).toEqual(['not-run', 0])
  expect([await send(0), runs]).toEqual([undefined, 1])
})

// Guards against counting the validity of a claim from the end of the body, which may arrive long after the head.
test('a forwarded order whose body arrives after its claim has expired is not sent', async () => {
  setTarget(9_001)
  const signature = new InternalAuth(clusterKey, clock).sign('h', { method: 'POST', path: '/orders', requestId: 'i' })
  const head = ['POST /orders HTTP/1.1', 'Host: g', 'Shunt-Request-Id: i', `Shunt-Internal: ${signature}`, 'Shunt-Claim-Ms: 200', 'Shunt-Once: 1', 'Content-Length: 2', 'Connection: close']
  const send = async (delayMs: number): Promise<string> => await new Promise((resolve, reject) => {
    const socket = connect(8_081, owner.address)
    let received = ''
    socket.write(`${head.join('\r\n')}\r\n\r\n{`)
    setTimeout(() => socket.write('}'), delayMs)
    socket.on('data', (chunk) => { received += chunk.toString() })
    socket.on('error', reject)
    socket.on('close', () => resolve(/^HTTP\/1.1 (\d+)/.exec(received)?.[1] ?? received))
  })
  expect([await send(20), runs]).toEqual(['200', 1])
  expect([await send(300), runs]).toEqual(['503', 1])
})
