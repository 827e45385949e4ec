import { connect } from 'node:net'
import { test } from 'node:test'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { expect } from 'earl'
import { SystemClock } from '../../src/common/SystemClock.js'
import { DrainableHttpServer } from '../../src/entry/DrainableHttpServer.js'
import { entryLimits } from '../../src/entry/entryLimits.js'
import { waitUntil } from '../support/waitUntil.js'

const address = '127.22.5.10'
const port = 8_086
const request = 'GET / HTTP/1.1\r\nHost: x\r\n\r\n'
const sentBytes = 4_000_000
const maxHeapBytes = 16_000_000

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

function readHeapBytes (): number {
  collectGarbage()
  return process.memoryUsage().heapUsed
}

// Guards against a caller that fills the memory with requests beyond the limit, each of which takes some KB until the connection ends.
test('requests that are not read take no memory', async () => {
  let handled = 0
  const server = new DrainableHttpServer({
    clock: new SystemClock(),
    limits: { maxConnections: 10, maxHeaderBytes: 16_384, headersTimeoutMs: 5_000, idleTimeoutMs: 5_000 },
    closesConnections: () => false,
    createRequestId: () => '',
    onRefused: () => {},
    onException: () => {},
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
