import { connect } from 'node:net'
import { test } from 'node:test'
import { expect } from 'earl'
import { RawCaller } from '../support/RawCaller.js'
import { createFrontServer } from '../support/createFrontServer.js'

const address = '127.22.5.10'
const port = 8_081

// Guards against an exception in a request's handler that ends the process, or the other requests of the connection.
test('an exception of the handler fails only its request', async () => {
  const errors: unknown[] = []
  const front = createFrontServer({
    limits: { maxConnections: 10, maxHeaderBytes: 16_384, headersTimeoutMs: 60_000, idleTimeoutMs: 60_000 },
    onRequest: (req, res) => {
      if (req.url === '/bad') throw new Error('planted')
      res.end('whole')
    },
    createRequestId: () => 'r-1',
    onException: (error) => errors.push(error)
  })
  await front.listen(address, port)
  const caller = new RawCaller(connect(port, address))
  try {
    caller.sendAll([['a', '/good', {}], ['b', '/bad', {}], ['c', '/good', {}]])
    await caller.waitForResponses(3)
    expect([caller.responses.map(({ status }) => status), errors.length, front.inFlight]).toEqual([[200, 500, 200], 1, 0])
  } finally {
    caller.close()
    front.closeAll()
  }
})
