import { createServer } from 'node:net'
import type { Server, Socket } from 'node:net'
import { after, before, beforeEach, test } from 'node:test'
import { expect } from 'earl'
import { DialMap } from '../../src/common/DialMap.js'
import { HttpUpstreamClient } from '../../src/entry/HttpUpstreamClient.js'
import { RequestBody } from '../../src/entry/RequestBody.js'
import { GatewayFixture, call, clock, createEndpoint, createHost } from './fakes.js'

const address = '127.22.16.1'
const receiver = '127.22.16.2'
const fixture = new GatewayFixture(address)
const { steering } = fixture
const id = /shunt-request-id: (.*)\r/i
const servers: Server[] = []
let received = 0

before(async () => await fixture.start())
beforeEach(() => { received = 0 })
after(async () => {
  for (const server of servers) server.close()
  await fixture.stop()
})

/** Starts a receiver that answers the first request of each connection; on the second one it runs `onSecond` and resets the connection. */
async function startReceiver (port: number, onSecond: (server: Server) => void): Promise<void> {
  const server = createServer((socket: Socket) => {
    let requests = 0
    socket.on('error', () => {})
    socket.on('data', (chunk: Buffer) => {
      requests += 1
      received += 1
      if (requests === 1) {
        socket.write(`HTTP/1.1 200 OK\r\nShunt-Request-Id: ${id.exec(chunk.toString())?.[1] ?? ''}\r\nContent-Length: 3\r\n\r\none`)
        return
      }
      onSecond(server)
      socket.resetAndDestroy()
    })
  })
  await new Promise<void>((resolve) => server.listen(port, receiver, resolve))
  servers.push(server)
}

// Guards against reporting `not-run` for a request that was sent on a kept connection because the second try found no listener.
test('a request that was sent on a stale connection may have run although the next connect fails', async () => {
  for (const [port, target, code] of [[9_001, createEndpoint('e', `${receiver}:9001`), '5001'], [8_081, createHost('g', receiver), '5006']] as const) {
    received = 0
    await startReceiver(port, (server) => server.close())
    steering.targets = [target]
    expect((await call(address, '/stock')).body).toEqual('one')
    const { headers } = await call(address, '/stock')
    expect([headers['shunt-code'], headers['shunt-outcome'], received]).toEqual([code, 'unknown', 2])
  }
})

// Guards against reporting `not-run` for a request that was sent on a kept connection because the second try must not be written.
test('a request that was sent on a stale connection may have run although it may not be sent again', async () => {
  await startReceiver(9_002, () => {})
  const client = new HttpUpstreamClient({ dial: new DialMap(), clock, maxIdle: 2 })
  const send = async (mayWrite: () => boolean): Promise<string> => (await client.start({
    address: `${receiver}:9002`,
    method: 'GET',
    path: '/',
    headers: [],
    body: new RequestBody(Buffer.alloc(0), 0, undefined, 0),
    needsNewConnection: false,
    mayWrite,
    reserveBytes: () => 0
  }).response).match((value) => value.body.toString(), ({ failure }) => `${failure.name} ${failure.outcome}`)
  expect(await send(() => true)).toEqual('one')
  const second = await send(() => received < 2)
  client.close()
  expect(second).toEqual('claimExpired unknown')
})
