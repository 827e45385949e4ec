import { once } from 'node:events'
import { copyFileSync, mkdtempSync, readFileSync } from 'node:fs'
import type { IncomingMessage, RequestListener } from 'node:http'
import { request } from 'node:https'
import { connect } from 'node:tls'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'node:test'
import { setTimeout as delay } from 'node:timers/promises'
import { expect } from 'earl'
import { Registry } from 'prom-client'
import { createFailure } from '../../src/common/createFailure.js'
import { CredentialThrottle } from '../../src/common/CredentialThrottle.js'
import { HealthRoutes } from '../../src/common/HealthRoutes.js'
import { HttpListener } from '../../src/common/HttpListener.js'
import { Logger } from '../../src/common/Logger.js'
import { ManualClock } from '../../src/common/ManualClock.js'
import { readBearer } from '../../src/common/readBearer.js'
import { readRequestId } from '../../src/common/readRequestId.js'
import { sendFailure } from '../../src/common/sendFailure.js'

const address = '127.24.3.1'
const limits = { maxConnections: 100, maxHeaderBytes: 16_384, headersTimeoutMs: 5_000, idleTimeoutMs: 5_000 }

class EventLogger extends Logger {
  readonly events: string[] = []
  override debug (event: string): void { this.events.push(event) }
  override info (event: string): void { this.events.push(event) }
  override warn (event: string): void { this.events.push(event) }
  override error (event: string): void { this.events.push(event) }
}

async function listen (port: number, onRequest: RequestListener): Promise<HttpListener> {
  const listener = new HttpListener({ limits, logger: new EventLogger(), onRequest })
  await listener.listen(address, port)
  return listener
}

async function readPeerName (port: number): Promise<string> {
  const socket = connect({ host: address, port, rejectUnauthorized: false })
  await once(socket, 'secureConnect')
  const { subject } = socket.getPeerCertificate()
  socket.destroy()
  return String(subject.CN)
}

// Guards against a certificate that stays in use after its files were replaced, and against a port that fails while only
// one of the two files has been replaced.
test('a replaced certificate is reloaded', async () => {
  const folder = mkdtempSync(join(tmpdir(), 'tls-'))
  const tls = { certFile: join(folder, 'cert'), keyFile: join(folder, 'key') }
  const install = (name: string, file: 'pem' | 'key'): void => copyFileSync(`test/common/tls/${name}.${file}`, file === 'pem' ? tls.certFile : tls.keyFile)
  install('first', 'pem')
  install('first', 'key')
  const logger = new EventLogger()
  const listener = new HttpListener({ limits, tls, logger, onRequest: (_, res) => { res.end('ok') } })
  await listener.listen(address, 9443)
  try {
    const req = request({ host: address, port: 9443, ca: readFileSync('test/common/tls/first.pem'), agent: false }).end()
    const [res] = await once(req, 'response') as [IncomingMessage]
    res.resume()
    expect(res.statusCode).toEqual(200)
    install('second', 'pem')
    for (let tries = 0; tries < 60 && logger.events.length === 0; tries++) await delay(100)
    expect([logger.events[0], await readPeerName(9443)]).toEqual(['tls-reload-failed', 'first'])
    install('second', 'key')
    for (let tries = 0; tries < 60 && !logger.events.includes('tls-reloaded'); tries++) await delay(100)
    expect(await readPeerName(9443)).toEqual('second')
  } finally {
    await listener.close(100)
  }
})

// Guards against a stop that aborts responses in flight, and against one that waits for ever.
test('close waits for responses in flight up to its timeout', async () => {
  const listener = await listen(9444, (req, res) => { if (req.url !== '/slow') setTimeout(() => res.end('late'), 300) })
  const inTime = fetch(`http://${address}:9444/`).then(async (res) => await res.text())
  const slow = fetch(`http://${address}:9444/slow`).then(() => 'answered', () => 'cut')
  await delay(100)
  const startMs = performance.now()
  await listener.close(1_000)
  expect([await inTime, await slow, performance.now() - startMs < 3_000]).toEqual(['late', 'cut', true])
})

// Guards against refusals whose headers and body differ.
test('health, metrics and refusals have the specified format', async () => {
  let notReadyReason: string | undefined = 'no view'
  const routes = new HealthRoutes({ registry: new Registry(), findNotReadyReason: () => notReadyReason })
  const listener = await listen(9445, (req, res) => {
    if (!routes.handle(req, res)) sendFailure(res, createFailure('rateCap', { retryAfterMs: 1_200 }), readRequestId(req))
  })
  try {
    const get = async (path: string, init?: RequestInit): Promise<Response> => await fetch(`http://${address}:9445${path}`, init)
    expect((await get('/health/alive')).status).toEqual(200)
    expect(await (await get('/health/ready')).json()).toEqual({ status: 'not-ready', reason: 'no view' })
    notReadyReason = undefined
    expect([(await get('/health/ready?x')).status, (await get('/metrics')).status, (await get('/metrics', { method: 'POST' })).status]).toEqual([200, 200, 405])
    const refused = await get('/other', { headers: { 'Shunt-Request-Id': 'r-1' } })
    const headers = ['shunt-code', 'shunt-outcome', 'retry-after', 'shunt-request-id'].map((name) => refused.headers.get(name))
    expect([refused.status, ...headers]).toEqual([429, '2001', 'not-run', '2', 'r-1'])
    expect(await refused.json()).toEqual({ code: 2001, name: 'rateCap', outcome: 'not-run', message: 'The rate cap of the contract is used up.', retryAfterMs: 1_200, requestId: 'r-1' })
  } finally {
    await listener.close(100)
  }
})

// Guards against unlimited guessing, a lock-out that never ends, and memory use that grows with the number of addresses.
test('an address is refused for a while after too many wrong credentials', () => {
  const clock = new ManualClock()
  const throttle = new CredentialThrottle(clock)
  for (let count = 0; count < 20; count++) throttle.recordWrongCredential('a')
  expect([throttle.waitMs('a'), throttle.waitMs('b')]).toEqual([10_000, 0])
  clock.advance(10_000)
  expect(throttle.waitMs('a')).toEqual(0)
  throttle.recordWrongCredential('a')
  expect(throttle.waitMs('a')).toEqual(0)
  for (let index = 0; index < 30_000; index++) throttle.recordWrongCredential(`x${index}`)
  expect((throttle as unknown as { rows: { size: number } }).rows.size).toEqual(10_000)
})

// Guards against reading credentials of other schemes or truncated credentials.
test('only complete bearer credentials are read', () => {
  const read = (authorization?: string): string | undefined => readBearer({ headers: { authorization } } as IncomingMessage)
  expect([read('Bearer a.b-c'), read('bearer  x'), read('Bearer a b'), read('Basic a'), read('Bearer '), read()]).toEqual(['a.b-c', 'x', undefined, undefined, undefined, undefined])
})
