import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { test } from 'node:test'
import { expect } from 'earl'
import { SlowReaderSystem } from '../../src/entry/SlowReaderSystem.js'
import { entryLimits } from '../../src/entry/entryLimits.js'
import { createFrontServer } from '../support/createFrontServer.js'
import { waitUntil } from '../support/waitUntil.js'

const address = '127.22.5.7'
const port = 8_085
const part = Buffer.alloc(16_777_216, 'x')

async function open (bytes: number): Promise<Socket> {
  const socket = connect(port, address)
  socket.on('error', () => {})
  socket.pause()
  await new Promise<void>((resolve) => socket.write(`GET /${bytes} HTTP/1.1\r\nHost: x\r\n\r\n`, () => resolve()))
  return socket
}

// Guards against closing callers who take their responses slowly, before or instead of those who fill the memory.
test('the connections with most untaken bytes are closed, and none below the bound', async () => {
  const closed: unknown[] = []
  const server = createFrontServer({
    onRequest: (req, res) => {
      for (let index = 0; index < Number(req.url!.slice(1)); index++) res.write(part)
    }
  })
  const system = new SlowReaderSystem({ server, onClosed: (sums) => closed.push(sums.connections) })
  await server.listen(address, port)
  const sockets = [await open(1), await open(2)]
  try {
    await waitUntil(() => server.inFlight === 2, () => '')
    system.run()
    expect(closed).toEqual([])
    sockets.push(await open(1 + entryLimits.maxUnsentBytes / part.length))
    await waitUntil(() => server.inFlight === 3, () => '')
    await new Promise((resolve) => setTimeout(resolve, 50))
    system.run()
    expect(closed).toEqual([1])
    await waitUntil(() => server.inFlight === 2, () => '')
    system.run()
    expect([closed, server.connections]).toEqual([[1], 2])
  } finally {
    for (const socket of sockets) socket.destroy()
    server.closeAll()
  }
})

// Guards against callers who are served well and are closed for those who come in a burst, when equally many bytes wait for both.
test('of connections with equally many waiting bytes the newest is closed', async () => {
  const server = createFrontServer({
    onRequest: (req, res) => { if (req.url === '/waiting') res.waitForTurn(entryLimits.maxUnsentBytes / 2).catch(() => {}) }
  })
  const system = new SlowReaderSystem({ server, onClosed: () => {} })
  await server.listen(address, port)
  const sockets: Socket[] = []
  try {
    for (let count = 1; count <= 3; count++) {
      const socket = await open(0)
      socket.write('GET /waiting HTTP/1.1\r\nHost: x\r\n\r\n')
      sockets.push(socket.resume())
      await waitUntil(() => server.inFlight === 2 * count, () => '')
    }
    await new Promise((resolve) => setTimeout(resolve, 50))
    system.run()
    await waitUntil(() => server.connections === 2, () => '')
    await waitUntil(() => sockets[2]!.destroyed, () => '')
    expect(sockets.map(({ destroyed }) => destroyed)).toEqual([false, false, true])
  } finally {
    for (const socket of sockets) socket.destroy()
    server.closeAll()
  }
})
