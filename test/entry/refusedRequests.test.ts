import { connect } from 'node:net'
import { test } from 'node:test'
import { expect } from 'earl'
import { entryLimits } from '../../src/entry/entryLimits.js'
import { collectGarbage } from '../support/collectGarbage.js'
import { createFrontServer } from '../support/createFrontServer.js'
import { waitUntil } from '../support/waitUntil.js'

const address = '127.22.5.10'
const port = 8_086
const request = 'GET / HTTP/1.1\r\nHost: x\r\n\r\n'
const sentBytes = 4_000_000
const maxHeapBytes = 16_000_000

function readHeapBytes (): number {
  collectGarbage()
  return process.memoryUsage().heapUsed
}

// Guards against a caller that fills the memory with requests beyond the limit, each of which takes some KB until the connection ends.
test('requests that are not read take no memory', async () => {
  let handled = 0
  const server = createFrontServer({
    onRequest: () => { handled += 1 }
  })
  await server.listen(address, port)
  const socket = connect(port, address)
  socket.on('error', () => {})
  try {
    const beforeBytes = readHeapBytes()
    for (let bytes = 0; bytes < sentBytes; bytes += request.length * 1_000) {
      await new Promise<void>((resolve) => socket.write(request.repeat(1_000), () => resolve()))
    }
    await waitUntil(() => handled === entryLimits.maxPipelinedRequests)
    expect(readHeapBytes() - beforeBytes).toBeLessThan(maxHeapBytes)
    socket.destroy()
    await waitUntil(() => server.inFlight === 0)
  } finally {
    socket.destroy()
    server.closeAll()
  }
})
