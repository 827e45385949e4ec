import { randomBytes } from 'node:crypto'
import { Agent, request as httpRequest } from 'node:http'
import { connect, createServer as createTcpServer } from 'node:net'
import { after, before, beforeEach, test } from 'node:test'
import { expect } from 'earl'
import { createFailure } from '../../src/common/createFailure.js'
import { entryLimits } from '../../src/entry/entryLimits.js'
import { GatewayFixture, call, clock, createEndpoint, credential, sendRaw, pause } from './fakes.js'

const address = '127.22.2.1'
const fixture = new GatewayFixture(address)
const { claims, steering, admission, metrics } = fixture
const order = { method: 'POST', body: '{"n":1}', headers: { 'idempotency-key': 'k' } }
const observed: string[] = []

before(async () => {
  await fixture.start()
  await fixture.startUpstream(9_001, (req, res) => { observed.push(req.url!); req.resume(); req.on('end', () => res.end('whole')) })
  await fixture.startUpstream(9_002, (_req, res) => { observed.push('truncated'); res.writeHead(200, { 'content-length': 100 }); res.write('part', () => res.destroy()) })
  await fixture.startUpstream(9_003, (req) => { observed.push('reset'); req.socket.resetAndDestroy() })
  await fixture.startUpstream(9_004, (_req, res) => { observed.push('shed'); res.writeHead(503, { 'upstream-not-run': '1' }); res.end() })
  await fixture.startUpstream(9_015, (_req, res) => { observed.push('busy'); res.writeHead(429, { 'upstream-not-run': '1' }); res.end() })
  await fixture.startUpstream(9_005, (_req, res) => { observed.push('late'); setTimeout(() => res.end('late'), 400) })
})
beforeEach(() => {
  observed.length = 0
  claims.settled.length = 0
  claims.answer = undefined
  claims.usable = true
  claims.refuse = undefined
  metrics.events.length = 0
  steering.results.length = 0
  admission.retries = Infinity
})
after(async () => await fixture.stop())

function setTargets (...ports: number[]): void {
  steering.targets = ports.map((port) => createEndpoint(`e${port}`, `${address}:${port}`))
}

const refusedPort = 9_099
const failures: Array<[name: string, port: number, code: string, seen: string[]]> = [
  ['a truncated answer', 9_002, '5004', ['truncated']],
  ['a reset after the write', 9_003, '5002', ['reset']]
]

for (const [name, port, code, expected] of failures) {
  // Guards against a read that is not retried, or a response that mixes two attempts.
  test(`a read is retried at another endpoint after ${name}`, async () => {
    setTargets(port, 9_001)
    const answer = await call(address, '/stock')
    expect([answer.status, answer.body, steering.results]).toEqual([200, 'whole', ['broken', 'ok']])
  })

  // Guards against an order that runs twice, and against reporting `not-run` for it.
  test(`the outcome of an order is unknown after ${name}`, async () => {
    setTargets(port, 9_001)
    const answer = await call(address, '/orders', order)
    expect([answer.headers['shunt-code'], answer.headers['shunt-outcome'], observed, claims.settled]).toEqual([code, 'unknown', expected, ['unknown']])
  })
}

const falseRefusals = [408, 429, 503]

for (const status of falseRefusals) {
  // Guards against a status by which a caller takes an order that ran as not run, and against a key whose stored response says so.
  test(`an order that ran at an endpoint is not answered ${status}`, async () => {
    const spec = await fixture.startUpstream(9_100 + status, (_req, res) => { res.writeHead(status); res.end('failed') })
    steering.targets = [spec]
    const { status: received, headers } = await call(address, '/orders', order)
    expect([received, headers['shunt-code'], headers['shunt-outcome'], claims.settled]).toEqual([502, '5008', 'unknown', ['unknown']])
    expect(metrics.events.slice(0, 2)).toEqual([`replaced ${status}`, 'refused upstreamAmbiguous orders a'])
    const read = await call(address, '/stock')
    expect([read.status, read.body]).toEqual([status, 'failed'])
  })
}

// Guards against giving up an order after a failure that certainly did not run it.
test('an order is retried after a refused connection and after shedding', async () => {
  setTargets(refusedPort, 9_004, 9_001)
  const answer = await call(address, '/orders', order)
  expect([answer.status, observed, claims.settled, steering.results]).toEqual([200, ['shed', '/orders'], ['done'], ['refused', 'shed', 'ok']])
  expect(metrics.events.slice(0, 2)).toEqual(['retried upstreamRefused', 'retried upstreamShed'])
})

// Guards against an order that is given up, or reported as possibly run, although its endpoint states that it didn't run it.
test('an order is retried after a 429 that states that it was not run', async () => {
  setTargets(9_015, 9_001)
  const answer = await call(address, '/orders', order)
  expect([answer.status, observed, claims.settled, steering.results]).toEqual([200, ['busy', '/orders'], ['done'], ['shed', 'ok']])
})

// Guards against reporting `unknown` after a refused connection, or a key that stays claimed after it.
test('an order that no endpoint accepts was not run', async () => {
  setTargets(refusedPort)
  const answer = await call(address, '/orders', order)
  expect([answer.headers['shunt-code'], answer.headers['shunt-outcome'], claims.settled]).toEqual(['5001', 'not-run', ['not-run']])
})

// Guards against retries without a retry budget.
test('a retry requires budget', async () => {
  admission.retries = 0
  setTargets(refusedPort, 9_001)
  expect((await call(address, '/stock')).headers['shunt-code']).toEqual('2005')
})

// Guards against a write after the claim expired, when the key may have been granted to another host.
test('an order is not sent with an expired claim', async () => {
  claims.usable = false
  setTargets(9_001)
  const answer = await call(address, '/orders', order)
  expect([answer.headers['shunt-code'], answer.headers['shunt-outcome'], observed]).toEqual(['4006', 'not-run', []])
})

// Guards against a repeated order that runs again instead of returning the stored answer.
test('the answer of a completed key is replayed', async () => {
  setTargets(9_001)
  const answers = [await call(address, '/orders', order), await call(address, '/orders', order)]
  expect([answers.map((answer) => answer.body), observed.length]).toEqual([['whole', 'whole'], 1])
})

// Guards against reporting `not-run` for a key whose state the host has not requested.
test('without a claim the outcome of a key is unknown', async () => {
  setTargets()
  admission.refuse = 'rateCap'
  const answers = [await call(address, '/orders', order), await call(address, '/orders', { method: 'POST' })]
  admission.refuse = undefined
  expect(answers.map((answer) => answer.headers['shunt-outcome'])).toEqual(['unknown', 'not-run'])
})

// Guards against a change of the outcome that the home reported.
test('a refused claim keeps its outcome', async () => {
  claims.refuse = createFailure('shed')
  const answer = await call(address, '/orders', order)
  expect([answer.headers['shunt-code'], answer.headers['shunt-outcome']]).toEqual(['3007', 'not-run'])
})

// Guards against a late response that is sent after the refusal on the same connection.
test('a late response is dropped', async () => {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 })
  setTargets(9_005)
  const late = await call(address, '/stock', { agent, headers: { 'shunt-deadline-ms': '100' } })
  setTargets(9_001)
  const next = await call(address, '/stock', { agent })
  expect([late.status, late.headers['shunt-code'], next.body, steering.results]).toEqual([504, '5003', 'whole', ['timeout', 'ok']])
  agent.destroy()
})

// Guards against a late second copy of a response on a connection that is in use again; the next caller would receive it.
test('a second copy of a response does not answer the next request', async () => {
  let first = ''
  const upstream = createTcpServer((socket) => {
    socket.on('error', () => {})
    socket.on('data', (chunk: Buffer) => {
      const id = /shunt-request-id: (.*)\r/i.exec(chunk.toString())![1]!
      if (first === '') first = id
      const copy = id === first ? '' : `HTTP/1.1 200 OK\r\nShunt-Request-Id: ${first}\r\nContent-Length: 3\r\n\r\none`
      socket.write(`${copy}HTTP/1.1 200 OK\r\nShunt-Request-Id: ${id}\r\nContent-Length: 3\r\n\r\n${id === first ? 'one' : 'two'}`)
    })
  })
  await new Promise<void>((resolve) => upstream.listen(9_013, address, resolve))
  setTargets(9_013)
  expect((await call(address, '/stock')).body).toEqual('one')
  await pause(20)
  const answer = await call(address, '/stock')
  upstream.close()
  expect([answer.headers['shunt-code'], answer.body === 'one']).toEqual(['5002', false])
})

// Guards against pipelined responses in the sequence of completion instead of that of the requests.
test('pipelined responses are sent in the sequence of the requests', async () => {
  const choose = steering.choose.bind(steering)
  setTargets(9_001)
  let count = 0
  steering.choose = async (request) => {
    if (count++ === 0) await pause(100)
    return await choose(request)
  }
  await fixture.startUpstream(9_006, (req, res) => res.end(`<${req.url}>`))
  setTargets(9_006)
  const head = `Host: x\r\nAuthorization: Bearer ${credential}\r\n`
  const text = await sendRaw(address, `GET /stock/1 HTTP/1.1\r\n${head}\r\nGET /stock/2 HTTP/1.1\r\n${head}\r\nGET /stock/3 HTTP/1.1\r\n${head}Connection: close\r\n\r\n`)
  steering.choose = choose
  expect([...text.matchAll(/<(.*?)>/g)].map((match) => match[1])).toEqual(['/stock/1', '/stock/2', '/stock/3'])
})

// Guards against attempts that continue after the caller disconnected, and permits that stay taken.
test('cancellation reaches the endpoint and frees the permit', async () => {
  let closed: (value: unknown) => void
  const isClosed = new Promise((resolve) => { closed = resolve })
  await fixture.startUpstream(9_007, (_req, res) => res.on('close', closed))
  setTargets(9_007)
  const req = httpRequest({ host: address, port: 8_080, path: '/stock', headers: { authorization: `Bearer ${credential}` } })
  req.on('error', () => {})
  req.end()
  await pause(100)
  req.destroy()
  await isClosed
  await pause(20)
  expect([admission.permits.at(-1)!.released > 0, steering.results]).toEqual([true, ['cancelled']])
})

// Guards against permits of pipelined requests that stay taken after their connection closed.
test('pipelined requests of a disconnected caller are cancelled', async () => {
  await fixture.startUpstream(9_012, (req) => { req.resume() })
  setTargets(9_012)
  const count = admission.permits.length
  const socket = connect(8_080, address)
  socket.write(`GET /stock HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ${credential}\r\n\r\n`.repeat(3))
  await pause(100)
  socket.destroy()
  await pause(100)
  const taken = admission.permits.slice(count)
  expect([taken.length, taken.filter((permit) => permit.released === 0).length, fixture.gateway.inFlight]).toEqual([3, 0, 0])
})

// Guards against losing a response that the endpoint sent before it read the whole body.
test('an early response reaches a caller that is still sending', async () => {
  await fixture.startUpstream(9_013, (_req, res) => res.end('enough'))
  setTargets(9_013)
  const answer = await call(address, '/intake', { method: 'POST', body: Buffer.alloc(2 << 20) })
  expect(answer.body).toEqual('enough')
})

// Guards against a response that is buffered completely for a slow reader, and against lost or reordered bytes.
test('a long response is streamed with bounded memory', async () => {
  const bytes = 64 << 20
  const block = randomBytes(1 << 16)
  let sent = 0
  await fixture.startUpstream(9_008, (_req, res) => {
    res.writeHead(200, { 'content-length': bytes })
    const push = (): void => {
      while (sent < bytes) {
        sent += block.length
        if (!res.write(block)) { res.once('drain', push); return }
      }
      res.end()
    }
    push()
  })
  setTargets(9_008)
  const socket = connect(8_080, address)
  socket.write(`GET /stock HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ${credential}\r\nConnection: close\r\n\r\n`)
  await pause(300)
  // The socket buffers hold a few MiB; the remaining bytes must stay at the endpoint.
  expect(sent < bytes / 2).toEqual(true)
  let received = 0
  for await (const chunk of socket) received += (chunk as Buffer).length
  expect([sent, received > bytes]).toEqual([bytes, true])
})

// Guards against a truncated long response that looks complete.
test('a truncated long response breaks the connection', async () => {
  await fixture.startUpstream(9_009, (_req, res) => { res.write(Buffer.alloc(200_000)); setTimeout(() => res.destroy(), 50) })
  setTargets(9_009)
  const failed = await call(address, '/stock').then(() => false, () => true)
  expect([failed, steering.results]).toEqual([true, ['broken']])
})

// Guards against an endpoint that breaks off a response which waits for its turn, and so takes the responses behind it from the caller.
test('a long response that breaks off while it waits is refused, and those behind it are sent', async () => {
  await fixture.startUpstream(9_014, (req, res) => {
    if (req.url === '/stock/1') return setTimeout(() => res.end('slow'), 300)
    if (req.url === '/stock/3') return res.end('short')
    res.write(Buffer.alloc(entryLimits.maxBufferedBytes + 1_000))
    return setTimeout(() => res.destroy(), 50)
  })
  setTargets(9_014)
  const head = `Host: x\r\nAuthorization: Bearer ${credential}\r\n`
  const text = await sendRaw(address, `GET /stock/1 HTTP/1.1\r\n${head}\r\nGET /stock/2 HTTP/1.1\r\n${head}\r\nGET /stock/3 HTTP/1.1\r\n${head}Connection: close\r\n\r\n`)
  expect([...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map((match) => match[1])).toEqual(['200', '502', '200'])
})

// Guards against uploads that are buffered, truncated, or read before a target is reserved and a claim is granted.
test('an upload is streamed after the claim', async () => {
  const body = randomBytes(8 << 20)
  let received = 0
  let matches = true
  await fixture.startUpstream(9_010, (req, res) => {
    req.on('data', (chunk: Buffer) => {
      matches &&= chunk.equals(body.subarray(received, received + chunk.length))
      received += chunk.length
    })
    req.on('end', () => res.end(String(received)))
  })
  setTargets(refusedPort, 9_010)
  const answer = await call(address, '/intake', { method: 'POST', body, headers: { 'idempotency-key': 'u', expect: '100-continue' } })
  expect([answer.body, matches, claims.settled]).toEqual([String(body.length), true, ['done']])
  claims.answer = undefined
  claims.refuse = createFailure('keyMismatch')
  const refused = await call(address, '/intake', { method: 'POST', body, headers: { 'idempotency-key': 'u', expect: '100-continue' } })
  expect([refused.status, received]).toEqual([422, body.length])
})

// Guards against an upload that exceeds its bandwidth cap.
test('an upload waits for bandwidth', async () => {
  setTargets(9_001)
  const startMs = clock.nowMs()
  admission.uploadWaitMs = 30
  const answer = await call(address, '/intake', { method: 'POST', body: Buffer.alloc(200_000), headers: { 'idempotency-key': 'w' } })
  admission.uploadWaitMs = 0
  expect(answer.status).toEqual(200)
  expect(clock.nowMs() - startMs > 60).toEqual(true)
})

// Guards against an upload that keeps waiting after its host has borrowed bandwidth.
test('a long wait ends when bandwidth becomes available', async () => {
  setTargets(9_001)
  admission.uploadWaitMs = 60_000
  const pending = call(address, '/intake', { method: 'POST', body: Buffer.alloc(200_000) })
  await pause(150)
  admission.uploadWaitMs = 0
  for (const permit of admission.permits) permit.uploadWaitMs = 0
  expect((await pending).status).toEqual(200)
})

// Guards against a hedge that is not counted, or a first attempt that is not cancelled.
test('a slow read is hedged', async () => {
  setTargets(9_001)
  for (let count = 0; count < 32; count++) await call(address, '/stock')
  setTargets(9_005, 9_001)
  metrics.events.length = 0
  steering.results.length = 0
  const answer = await call(address, '/stock')
  await pause(20)
  expect([answer.body, metrics.events, steering.results]).toEqual(['whole', ['hedged', 'completed'], ['ok', 'cancelled']])
})

// Guards against an endpoint that does not respond with HTTP.
test('a response that is not HTTP is a broken attempt', async () => {
  const server = createTcpServer((socket) => { socket.on('error', () => {}); socket.end('hello\r\n\r\n') })
  await new Promise<void>((resolve) => server.listen(9_011, address, resolve))
  setTargets(9_011)
  expect((await call(address, '/orders', order)).headers['shunt-outcome']).toEqual('unknown')
  server.close()
})

// Guards against a refusal if another request took the last place of the region share shortly before.
test('a request waits for a place in a full region', async () => {
  setTargets(9_001)
  admission.regionRefusals = 3
  const answer = await call(address, '/stock')
  admission.regionRefusals = 0
  expect([answer.status, steering.results]).toEqual([200, ['cancelled', 'cancelled', 'cancelled', 'ok']])
})
