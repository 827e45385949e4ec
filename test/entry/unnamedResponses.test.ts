import { createServer } from 'node:net'
import type { Server, Socket } from 'node:net'
import { after, before, beforeEach, test } from 'node:test'
import { expect } from 'earl'
import type { EndpointSpec } from '../../src/model/EndpointSpec.js'
import { ProbeSystem } from '../../src/entry/ProbeSystem.js'
import { GatewayFixture, call, createEndpoint, createModules, pause } from './fakes.js'

const address = '127.22.17.1'
const fixture = new GatewayFixture(address)
const servers: Server[] = []
let connections = 0

before(async () => await fixture.start())
beforeEach(() => { connections = 0 })
after(async () => {
  for (const server of servers) server.close()
  await fixture.stop()
})

/** Starts an endpoint that writes what `respond` returns for the n-th request of a connection. */
async function startEndpoint (port: number, respond: (count: number, id: string) => string): Promise<EndpointSpec> {
  const server = createServer((socket: Socket) => {
    connections += 1
    let requests = 0
    socket.on('error', () => {})
    socket.on('data', (chunk: Buffer) => {
      requests += 1
      socket.write(respond(requests, /shunt-request-id: (.*)\r/i.exec(chunk.toString())?.[1] ?? ''))
    })
  })
  await new Promise<void>((resolve) => server.listen(port, address, resolve))
  servers.push(server)
  return createEndpoint(`e${port}`, `${address}:${port}`)
}

function format (status: string, id: string | undefined, body: string): string {
  return `HTTP/1.1 ${status}\r\n${id === undefined ? '' : `Shunt-Request-Id: ${id}\r\n`}Content-Length: ${body.length}\r\n\r\n${body}`
}

const refusal = format('503 Unavailable\r\nUpstream-Not-Run: 1', undefined, '')

// Guards against a late copy without an id, of a response or a refusal, that is taken for the response to the next request.
test('a response without an id on a kept connection is not the response', async () => {
  for (const [port, copy] of [[9_001, format('200 OK', undefined, 'one')], [9_002, refusal]] as const) {
    fixture.steering.targets = [await startEndpoint(port, (count, id) => `${count === 1 ? '' : copy}${format('200 OK', id, 'own')}`)]
    expect((await call(address, '/stock')).body).toEqual('own')
    const { status, headers } = await call(address, '/stock')
    expect([status, headers['shunt-code'], headers['shunt-outcome']]).toEqual([502, '5002', 'unknown'])
  }
})

// Guards against refusing the responses of endpoints that repeat no ids, which can be told apart only by their connections.
test('an endpoint that repeats no ids gets a connection for each request', async () => {
  fixture.steering.targets = [await startEndpoint(9_003, (count) => format('200 OK', undefined, String(count)))]
  for (let round = 0; round < 3; round++) {
    expect((await call(address, '/stock')).body).toEqual('1')
    await pause(20)
  }
  expect(connections).toEqual(3)
})

// Guards against a health check that reads a copy of a request's response on its connection.
test('a copy of a response is not the result of a health check', async () => {
  const health = JSON.stringify({ state: 'ready', used: 2, slots: 4 })
  const endpoint = await startEndpoint(9_004, (count, id) => {
    const response = id === '' ? format('200 OK', undefined, health) : format('200 OK', id, 'own')
    return count === 1 ? response : `${format('200 OK', 'earlier', 'own')}${response}`
  })
  fixture.steering.targets = [endpoint]
  expect((await call(address, '/stock')).body).toEqual('own')
  const { steer } = createModules()
  steer.probes = [endpoint]
  new ProbeSystem(steer, fixture.gateway.probeClient).run(0)
  await pause(50)
  expect(steer.reports).toEqual(['e9004 2 true'])
})
