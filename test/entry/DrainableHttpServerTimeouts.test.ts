import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { test } from 'node:test'
import { expect } from 'earl'
import { createFrontServer } from '../support/createFrontServer.js'

const address = '127.22.5.9'
const port = 8_081
const idleTimeoutMs = 300
const headerTimeoutMs = 300
const request = 'GET /stock HTTP/1.1\r\nHost: x\r\n\r\n'
/** Upper limit in ms for the interval at which Node.js checks its connections. */
const checkIntervalMs = 1_500

async function withFront (run: () => Promise<void>): Promise<void> {
  const front = createFrontServer({
    limits: { maxConnections: 10, maxHeaderBytes: 16_384, headersTimeoutMs: 60_000, idleTimeoutMs: 60_000 },
    onRequest: (_req, res) => { res.end('whole') },
    createRequestId: () => 'r-1'
  })
  await front.listen(address, port)
  front.setTimeouts({ idleTimeoutMs, headerTimeoutMs })
  try {
    await run()
  } finally {
    front.closeAll()
  }
}

async function readAll (socket: Socket): Promise<string> {
  return await new Promise((resolve) => {
    let received = ''
    socket.on('data', (chunk: Buffer) => { received += chunk.toString() })
    socket.once('close', () => resolve(received))
  })
}

// Guards against a caller that holds a connection by never completing its headers, despite the configured timeout.
test('headers that take longer than the configured time are refused', async () => {
  await withFront(async () => {
    const startMs = performance.now()
    const socket = connect(port, address)
    socket.write('GET /stock HTTP/1.1\r\n')
    expect(await readAll(socket)).toInclude('408 Refused')
    expect(performance.now() - startMs >= idleTimeoutMs + headerTimeoutMs - 50).toEqual(true)
    expect(performance.now() - startMs < idleTimeoutMs + headerTimeoutMs + 2 * checkIntervalMs).toEqual(true)
  })
})

// Guards against closing a new connection because its idle time counts towards the header timeout.
test('a new connection may be idle before its first headers', async () => {
  await withFront(async () => {
    const socket = connect(port, address)
    await new Promise((resolve) => setTimeout(resolve, idleTimeoutMs))
    socket.write(request)
    expect(await readAll(socket)).toInclude('whole')
  })
})
