import { connect } from 'node:net'
import { test } from 'node:test'
import { expect } from 'earl'
import { DialMap } from '../../src/common/DialMap.js'
import { SystemClock } from '../../src/common/SystemClock.js'
import { encodeFrame } from '../../src/wire/encodeFrame.js'
import { FrameClient } from '../../src/wire/FrameClient.js'
import { FrameServer } from '../../src/wire/FrameServer.js'

const address = '127.0.7.1'
const serverSelf = { name: 'b', role: 'agent', incarnation: 1 } as const
const clientSelf = { name: 'a', role: 'agent', incarnation: 1 } as const

function createClient (clusterKey: string): FrameClient {
  return new FrameClient({ self: clientSelf, clusterKey, dial: new DialMap(), clock: new SystemClock(), onMessage: () => undefined })
}

// Guards against requests that are handled before authentication, and against responses matched to the wrong request.
test('requests receive their own responses after the handshake', async () => {
  const server = new FrameServer({ self: serverSelf, clusterKey: 'k', onMessage: (message) => ({ t: 'echo', n: message.n }) })
  await server.listen(address, 17_001)
  const client = createClient('k')
  const responses = await Promise.all([1, 2, 3].map(async (n) => await client.request(`${address}:17001`, { t: 'ask', n }, 1_000)))
  expect(responses.map((response) => response._unsafeUnwrap().n)).toEqual([1, 2, 3])
  client.close()
  await server.close()
})

// Guards against serving a peer without the cluster key.
test('a peer with a wrong cluster key is rejected', async () => {
  let admitted = 0
  const server = new FrameServer({ self: serverSelf, clusterKey: 'k', onMessage: () => undefined, onReady: () => { admitted += 1 } })
  await server.listen(address, 17_002)
  const client = createClient('other')
  const response = await client.request(`${address}:17002`, { t: 'ask' }, 1_000)
  expect(response._unsafeUnwrapErr().name).toEqual('peerUnreachable')
  expect(admitted).toEqual(0)
  client.close()
  await server.close()
})

// Guards against handling frames of an unauthenticated peer.
test('a frame before the handshake closes the connection', async () => {
  let handled = 0
  const server = new FrameServer({ self: serverSelf, clusterKey: 'k', onMessage: () => { handled += 1; return undefined } })
  await server.listen(address, 17_003)
  const socket = connect(17_003, address)
  socket.write(encodeFrame({ t: 'ask' }))
  socket.resume()
  await new Promise((resolve) => socket.once('close', resolve))
  expect(handled).toEqual(0)
  await server.close()
})

// Guards against accepted connections that fell silent and are kept for good, until no peer can connect any more.
test('an accepted connection on which nothing arrives is closed', async () => {
  const idleTimeoutMs = 200
  const failures: Array<string | undefined> = []
  const server = new FrameServer({ self: serverSelf, clusterKey: 'k', idleTimeoutMs, onMessage: (message) => ({ t: 'echo', n: message.n }), onClose: (_peer, failure) => { failures.push(failure?.name) } })
  await server.listen(address, 17_004)
  const client = createClient('k')
  for (let n = 0; n < 5; n++) {
    expect((await client.request(`${address}:17004`, { t: 'ask', n }, 1_000)).isOk()).toEqual(true)
    await new Promise((resolve) => setTimeout(resolve, idleTimeoutMs / 2))
  }
  expect(failures).toEqual([])
  await new Promise((resolve) => setTimeout(resolve, idleTimeoutMs * 2))
  expect(failures).toEqual(['peerTimeout'])
  client.close()
  await server.close()
})
