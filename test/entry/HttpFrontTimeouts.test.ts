import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { test } from 'node:test'
import { expect } from 'earl'
import { HttpFront } from '../../src/entry/HttpFront.js'

const address = '127.22.5.9'
const port = 8_081
const idleTimeoutMs = 300
const headerTimeoutMs = 300
const request = 'GET /stock HTTP/1.1\r\nHost: x\r\n\r\n'
/** Time in ms after which Node.js has looked at its connections once more. */
const checkMs = 1_500

async function withFront (run: () => Promise<void>): Promise<void> {
  const front = new HttpFront({
    limits: { maxConnections: 10, maxHeaderBytes: 16_384, headersTimeoutMs: 60_000, idleTimeoutMs: 60_000 },
    onRequest: (_req, res) => { res.end('whole') },
    createRequestId: () => 'r-1',
    onRefused: () => {}
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

// Guards against a sender that holds a connection by never ending its head, whatever the configuration allows.
test('a head that takes longer than the configured time is refused', async () => {
  await withFront(async () => {
    const startMs = performance.now()
    const socket = connect(port, address)
    socket.write('GET /stock HTTP/1.1\r\n')
    expect(await readAll(socket)).toInclude('408 Refused')
    expect(performance.now() - startMs >= idleTimeoutMs + headerTimeoutMs - 50).toEqual(true)
    expect(performance.now() - startMs < idleTimeoutMs + headerTimeoutMs + 2 * checkMs).toEqual(true)
  })
})

// Guards against a new connection that is cut because its idle time counts as part of its first head.
test('a new connection may be idle before its first head', async () => {
  await withFront(async () => {
    const socket = connect(port, address)
    await new Promise((resolve) => setTimeout(resolve, idleTimeoutMs))
    socket.write(request)
    expect(await readAll(socket)).toInclude('whole')
  })
})
