import { Agent, request as httpRequest } from 'node:http'
import { connect } from 'node:net'
import { after, before, test } from 'node:test'
import { expect } from 'earl'
import { Registry } from 'prom-client'
import { EntryDaemon } from '../../src/entry/EntryDaemon.js'
import type { ConfigDoc } from '../../src/model/ConfigDoc.js'
import type { Digest } from '../../src/model/Digest.js'
import { lookupTtl } from '../../src/model/lookupTtl.js'
import { FrameServer } from '../../src/wire/FrameServer.js'
import type { FrameConnection } from '../../src/wire/FrameConnection.js'
import { RawCaller } from '../support/RawCaller.js'
import { GatewayFixture, call, clock, clusterKey, createDoc, createHost, createModules, createSettings, credential, FakeMetrics, pause, QuietLogger } from './fakes.js'

const address = '127.22.4.1'
const modules = createModules()
const upstreams = new GatewayFixture('127.22.4.2')
/** More than fits into the receive buffer of a caller that doesn't read; the kernel takes it all the same. */
const longBody = Buffer.alloc(400_000, 'x')
const digests: Digest[] = []
let longResponses = 0
let daemon: EntryDaemon
let agent: FrameServer
let toEntry: FrameConnection
let drainsCancelled = 0

function createDaemon (): EntryDaemon {
  return new EntryDaemon({
    settings: createSettings(address),
    incarnation: 1,
    clock,
    createLog: () => new QuietLogger(),
    metrics: new FakeMetrics(),
    registry: new Registry(),
    createModules: () => modules,
    onDrainCancelled: () => { drainsCancelled += 1 }
  })
}

function publish (version: number, drains: ConfigDoc['drains'] = []): void {
  const view = { seq: 1, contactAgeMs: 0, configVersion: version, members: [], leavingEndpoints: [], leavingHosts: [] }
  toEntry.notify({ t: 'view', view, config: { ...createDoc([createHost('h', address)]), version, drains } })
}

async function waitUntil (isTrue: () => boolean): Promise<void> {
  for (let count = 0; count < 300 && !isTrue(); count++) await pause(10)
  expect(isTrue()).toEqual(true)
}

before(async () => {
  agent = new FrameServer({
    self: { name: 'h', role: 'agent', incarnation: 1 },
    clusterKey,
    onReady: (_peer, connection) => { toEntry = connection },
    onMessage: (message) => { if (message.t === 'digest') digests.push(message.digest as Digest); return undefined }
  })
  await agent.listen(address, 8_084)
  const endpoint = await upstreams.startUpstream(9_001, (req, res) => {
    req.resume()
    if (req.url === '/stock/long') {
      setTimeout(() => res.end(longBody, () => { longResponses += 1 }), lookupTtl.settledMs + 600)
      return
    }
    req.on('end', () => setTimeout(() => res.end(req.url === '/health' ? '{"state":"ready","used":2,"slots":4}' : 'whole'), 5))
  })
  modules.steer.targets = [endpoint]
  daemon = createDaemon()
  await daemon.start()
})
after(async () => {
  await daemon.stop()
  await agent.close()
  await upstreams.stop()
})

async function health (): Promise<number> {
  return (await call(address, '/health/ready', { port: 8_086 })).status
}

// Guards against a process that serves without a configuration, or sends no digest to its agent.
test('the daemon becomes ready, sends digests and answers explain requests', async () => {
  expect([await health(), (await call(address, '/stock')).headers['shunt-code']]).toEqual([503, '3009'])
  await waitUntil(() => toEntry !== undefined)
  publish(3)
  await waitUntil(() => digests.at(-1)?.serving === true)
  expect([await health(), (await call(address, '/stock')).body, digests.at(-1)!.host]).toEqual([200, 'whole', 'h'])
  const reply = await toEntry.request({ t: 'explain', customer: 'a', service: 'stock', method: 'GET' }, 1_000)
  expect((reply._unsafeUnwrap().steps as Array<{ step: string }>).map(({ step }) => step)).toEqual(['config', 'contract', 'route', 'share', 'own-endpoints'])
})

// Guards against health checks without a result, and failed ones that are reported as an idle endpoint.
test('endpoints are probed', async () => {
  modules.steer.reports.length = 0
  modules.steer.probes = [modules.steer.targets[0]!, { ...modules.steer.targets[0]!, name: 'gone', address: '127.22.4.2:9099' }] as typeof modules.steer.probes
  await waitUntil(() => modules.steer.reports.length === 2)
  expect(modules.steer.reports.sort()).toEqual(['e9001 2 true', 'gone failed'])
})

/** Sends requests on one keep-alive connection until a response has the header `Shunt-Leaving`. */
async function runCaller (pauseMs: number, errors: string[], onAnswer: () => void): Promise<number> {
  const keepAlive = new Agent({ keepAlive: true, maxSockets: 1 })
  for (let count = 0; ; count++) {
    const answer = await call(address, '/stock', { agent: keepAlive }).catch((err: Error) => { errors.push(err.message) })
    if (answer?.body !== 'whole') errors.push('not whole')
    if (count === 0) onAnswer()
    if (answer === undefined || answer.headers['shunt-leaving'] === '1') {
      keepAlive.destroy()
      return count
    }
    await pause(pauseMs)
  }
}

/** Sends an upload in ten chunks over `ms`. */
async function upload (ms: number): Promise<string> {
  return await new Promise((resolve, reject) => {
    const req = httpRequest({ host: address, port: 8_080, method: 'POST', path: '/intake', agent: false, headers: { authorization: `Bearer ${credential}`, 'content-length': 1_000_000 } }, (res) => {
      res.on('data', (chunk: Buffer) => resolve(chunk.toString()))
    })
    req.on('error', reject)
    let pieces = 0
    const step = setInterval(() => {
      pieces += 1
      req.write(Buffer.alloc(100_000))
      if (pieces < 10) return
      clearInterval(step)
      req.end()
    }, ms / 10)
  })
}

// Guards against a planned stop that interrupts a request or resets a keep-alive connection.
test('a planned stop under load interrupts no request', async () => {
  const errors: string[] = []
  let started = 0
  const callers = Array.from({ length: 40 }, async (_, index) => await runCaller(index % 4 === 0 ? 400 : index, errors, () => { started += 1 }))
  const uploaded = upload(4_500)
  await waitUntil(() => started === callers.length)
  const stopped = daemon.stop()
  await waitUntil(() => digests.at(-1)!.leaving)
  expect(await health()).toEqual(503)
  const counts = await Promise.all(callers)
  await pause(lookupTtl.settledMs + 400)
  const late = (await call(address, '/stock')).headers['shunt-code']
  expect([errors, counts.every((count) => count > 0), late, await uploaded]).toEqual([[], true, '3006', 'whole'])
  await stopped
  expect(modules.stoppedModules.sort()).toEqual(['claim', 'share', 'steer'])
})

// Guards against a stop that ends the process, and resets connections, while callers still take their last responses.
test('a planned stop leaves callers the time to take their responses', async () => {
  daemon = createDaemon()
  await daemon.start()
  await pause(300)
  publish(3)
  await pause(100)
  const socket = connect(8_080, address)
  const caller = new RawCaller(socket)
  socket.pause()
  caller.sendBytes(`GET /stock/long HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ${credential}\r\n\r\n`)
  await pause(100)
  const stopped = daemon.stop()
  await pause(lookupTtl.settledMs)
  await waitUntil(() => longResponses === 1)
  // Later than the stop ends when no caller still takes a response.
  await pause(700)
  caller.sendBytes('GET /stock/late HTTP/1.1\r\nHost: x\r\n\r\n')
  await pause(50)
  socket.resume()
  await Promise.all([caller.ended, stopped])
  expect([caller.responses.map(({ status }) => status), caller.received.length > longBody.length]).toEqual([[200], true])
})

// Guards against a drained host that exits or continues to serve, and against an ignored cancellation of the drain.
test('a drained host stays up and idle', async () => {
  daemon = createDaemon()
  await daemon.start()
  await pause(300)
  publish(4, [{ kind: 'host', name: 'h', by: 'o', atMs: 0 }])
  await waitUntil(() => digests.at(-1)!.leaving)
  await pause(lookupTtl.settledMs + 900)
  expect([await call(address, '/stock').catch((err: Error & { code?: string }) => err.code), await health()]).toEqual(['ECONNREFUSED', 503])
  publish(5)
  await waitUntil(() => drainsCancelled === 1)
})
