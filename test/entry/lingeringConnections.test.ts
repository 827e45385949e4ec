import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { test } from 'node:test'
import { connect as connectTls } from 'node:tls'
import { expect } from 'earl'
import type { DrainableHttpServer } from '../../src/entry/DrainableHttpServer.js'
import { entryLimits } from '../../src/entry/entryLimits.js'
import { RawCaller } from '../support/RawCaller.js'
import { createFrontServer } from '../support/createFrontServer.js'
import { waitUntil } from '../support/waitUntil.js'
import { testCertificates } from './testCertificates.js'

const address = '127.22.5.9'
const port = 8_085
/** More than fits into the receive buffer of a caller that doesn't read; the kernel takes it all the same. */
const bodyBytes = 400_000

interface Started {
  readonly server: DrainableHttpServer
  /** Number of responses that the kernel has taken. */
  readonly countWritten: () => number
}

/** Starts a server that closes each connection with its first response. */
async function startServer (tls?: typeof testCertificates[number]): Promise<Started> {
  let written = 0
  const server = createFrontServer({
    tls,
    closesConnections: () => true,
    onRequest: (_req, res) => {
      res.writeHead(200, { 'Content-Length': bodyBytes })
      res.once('finish', () => { written += 1 })
      res.end(Buffer.alloc(bodyBytes, 'x'))
    }
  })
  await server.listen(address, port)
  return { server, countWritten: () => written }
}

/** Sends a request, and one more when its response has been written; reads only then, and returns the number of bytes received. */
async function readLate ({ countWritten }: Started, socket: Socket): Promise<number> {
  const caller = new RawCaller(socket)
  socket.pause()
  caller.send('first', '/read')
  await waitUntil(() => countWritten() === 1, () => '; the response was not written')
  await new Promise((resolve) => setTimeout(resolve, 50))
  caller.send('late', '/late')
  await new Promise((resolve) => setTimeout(resolve, 50))
  socket.resume()
  await caller.ended
  return caller.received.length
}

// Guards against a reset that takes responses from a caller who sends a further request before it can know of the end.
test('a request behind a response that closes the connection takes no response from the caller', async () => {
  const started = await startServer()
  try {
    expect(await readLate(started, connect(port, address))).toBeGreaterThan(bodyBytes)
  } finally {
    started.server.closeAll()
  }
})

// Guards against the same over TLS, where Node.js closes the connection by another class.
test('a request behind a response that closes a TLS connection takes no response from the caller', async () => {
  const started = await startServer(testCertificates[0])
  try {
    expect(await readLate(started, connectTls({ host: address, port, rejectUnauthorized: false }))).toBeGreaterThan(bodyBytes)
  } finally {
    started.server.closeAll()
  }
})

// Guards against connections that stay open when their callers don't end them.
test('a connection that has ended is closed when the caller does not end it in time', async () => {
  const { server } = await startServer()
  const socket: Socket = connect({ host: address, port, allowHalfOpen: true })
  new RawCaller(socket).send('q', '/read')
  try {
    await waitUntil(() => socket.readableEnded, () => '; the connection has not ended')
    const startMs = performance.now()
    expect(server.connections).toEqual(1)
    await waitUntil(() => server.connections === 0, () => '')
    expect(performance.now() - startMs).toBeLessThan(entryLimits.lingerMs + 500)
  } finally {
    socket.destroy()
    server.closeAll()
  }
})
