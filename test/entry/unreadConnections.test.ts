import type { IncomingMessage } from 'node:http'
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { after, afterEach, before, test } from 'node:test'
import { expect } from 'earl'
import { waitUntil } from '../support/waitUntil.js'
import { GatewayFixture, credential, pause } from './fakes.js'

const address = '127.22.5.9'
const settleMs = 100
/** Time in ms after which upstreams must not work any more for a caller that has left. */
const leftMs = 500
const fixture = new GatewayFixture(address)
let working: IncomingMessage[] = []
const arrivals: string[] = []

before(async () => {
  await fixture.start()
  await fixture.startUpstream(9_001, (req, res) => {
    const kind = new URL(req.url!, 'http://x').searchParams.get('kind')
    arrivals.push(req.url!)
    if (kind !== 'slow') {
      res.end(Buffer.alloc(Number(kind), 'x'))
      return
    }
    working.push(req)
    req.socket.once('close', () => { working = working.filter((other) => other !== req) })
  })
})
afterEach(() => { arrivals.length = 0 })
after(async () => await fixture.stop())

async function ask (socket: Socket, kind: string, deadlineMs = 3_000): Promise<void> {
  socket.write(`GET /stock?kind=${kind} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ${credential}\r\nShunt-Deadline-Ms: ${deadlineMs}\r\n\r\n`)
  await pause(settleMs)
}

function open (): Socket {
  const socket = connect(8_080, address)
  socket.on('error', () => {})
  return socket.resume()
}

/** Closes the connection and checks that upstreams stop working for it in time. */
async function expectEnd (socket: Socket): Promise<void> {
  const leftAtMs = performance.now()
  socket.destroy()
  await waitUntil(() => working.length === 0)
  expect(performance.now() - leftAtMs).toBeLessThan(leftMs)
  await waitUntil(() => fixture.admission.permits.every(({ released }) => released > 0))
}

// Guards against upstreams that work on for a caller that has left, because its connection isn't read while responses wait.
test('a caller that leaves while a response waits for its turn ends its requests at an entry host', async () => {
  const socket = open()
  for (const kind of ['slow', '20000', 'slow']) await ask(socket, kind)
  expect([working.length, fixture.gateway.callerServer.unreadConnections]).toEqual([2, 0])
  await expectEnd(socket)
})

// Guards against the end of such a caller in the middle of a further request, which looks like a request that can't be read.
test('a caller that leaves in the middle of a request ends those before it at an entry host', async () => {
  const socket = open()
  await ask(socket, 'slow')
  socket.write('GET /stock HTTP/1.1\r\nHo')
  await pause(settleMs)
  await expectEnd(socket)
})

// Guards against a request that waits to be admitted and is passed on, although its caller has left and its body hid that.
test('a caller that leaves while its request with a body waits to be admitted is noticed', async () => {
  const { admission } = fixture
  let admit = (): void => {}
  admission.admits = new Promise((resolve) => { admit = resolve })
  const socket = open()
  socket.write(`POST /stock?kind=2 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ${credential}\r\nContent-Length: 60000\r\n\r\n${'x'.repeat(30_000)}`)
  await pause(settleMs)
  socket.write('x'.repeat(30_000))
  await pause(settleMs)
  const signal = admission.signals.at(-1)!
  expect(signal.aborted).toEqual(false)
  socket.destroy()
  await pause(settleMs)
  expect(signal.aborted).toEqual(true)
  admit()
  admission.admits = undefined
  await pause(settleMs)
  expect(arrivals).toEqual([])
})

// Guards against a permit that is held by a caller that doesn't take a response whose deadline passed while it waited for its turn.
test('a late response is written in its turn, and frees its permit when it is not taken', async () => {
  const socket = open()
  await ask(socket, 'slow', 600)
  socket.pause()
  await ask(socket, '5000000', 300)
  await ask(socket, '20000', 300)
  await waitUntil(() => fixture.admission.permits.every(({ released }) => released > 0))
  socket.destroy()
})

// Guards against connections that aren't read and that nobody sees.
test('a connection whose caller takes nothing counts as not read', async () => {
  const socket = open()
  socket.pause()
  await ask(socket, '9000000')
  // Node.js decides whether it reads on when a further request arrives.
  for (let count = 0; count < 10 && fixture.gateway.callerServer.unreadConnections === 0; count++) await ask(socket, 'slow')
  expect(fixture.gateway.callerServer.unreadConnections).toEqual(1)
  socket.destroy()
  await waitUntil(() => fixture.gateway.callerServer.connections === 0)
  expect(fixture.gateway.callerServer.unreadConnections).toEqual(0)
})
