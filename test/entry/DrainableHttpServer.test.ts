import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { after, before, test } from 'node:test'
import { expect } from 'earl'
import { entryLimits } from '../../src/entry/entryLimits.js'
import { GatewayFixture, call, credential, sendRaw, pause } from './fakes.js'

const address = '127.22.5.1'
const limit = 2_000
const fixture = new GatewayFixture(address, { maxConnections: limit, headersTimeoutMs: 60_000 })

before(async () => {
  await fixture.start()
  await fixture.startUpstream(9_001, (req, res) => { req.resume(); req.on('end', () => res.end('whole')) })
})
after(async () => await fixture.stop())

async function open (): Promise<Socket> {
  return await new Promise((resolve) => {
    const socket = connect(8_080, address, () => resolve(socket))
    socket.on('error', () => resolve(socket))
    socket.resume()
  })
}

// Guards against idle connections that exhaust the memory of a host, and against a limit that stays reached after they close.
test('10,000 idle connections stay within the limit', async () => {
  const sockets: Socket[] = []
  for (let count = 0; count < 10_000; count += 500) sockets.push(...await Promise.all(Array.from({ length: 500 }, open)))
  // A caller sees its connection as open before the server has accepted or dropped it.
  for (let count = 0; count < 500 && fixture.gateway.callerServer.connections + fixture.gateway.callerServer.dropped < 10_000; count++) await pause(20)
  const { connections, dropped } = fixture.gateway.callerServer
  for (const socket of sockets) socket.destroy()
  expect([connections, dropped]).toEqual([limit, 10_000 - limit])
  for (let count = 0; count < 100 && fixture.gateway.callerServer.connections > 0; count++) await pause(20)
  expect((await call(address, '/stock')).body).toEqual('whole')
})

// Guards against a caller that holds a permit without sending its body.
test('a body that does not arrive is refused and frees its permit', async () => {
  const head = `POST /orders HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ${credential}\r\nContent-Length: 5\r\nShunt-Deadline-Ms: 300\r\n\r\nab`
  const answer = await sendRaw(address, head)
  expect(answer).toInclude('Shunt-Code: 3003\r\n')
  expect(fixture.admission.permits.at(-1)!.released > 0).toEqual(true)
})

// Guards against resetting or running a request that is sent while the server closes its idle connection.
test('a request on a closing connection is refused and not run', async () => {
  const request = `GET /stock HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ${credential}\r\n\r\n`
  const socket = connect(8_080, address)
  let received = ''
  socket.on('data', (chunk: Buffer) => { received += chunk.toString() })
  socket.write(request)
  while (!received.includes('whole')) await pause(5)
  const eventsBefore = fixture.metrics.events.length
  fixture.gateway.callerServer.closeIdle()
  socket.write(request)
  await new Promise((resolve) => socket.once('close', resolve))
  fixture.gateway.callerServer.stopClosingIdle()
  expect(received).toInclude('Shunt-Code: 3006')
  expect(received).toInclude('Shunt-Outcome: unknown')
  expect(fixture.metrics.events.length).toEqual(eventsBefore)
})

// Guards against unlimited guesses of credentials, and against a throttle that affects authenticated connections.
test('wrong credentials are throttled per address, authenticated connections are not', async () => {
  const socket = connect(8_080, address)
  const sendRequest = async (): Promise<string> => {
    socket.write(`GET /stock HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ${credential}\r\n\r\n`)
    return await new Promise((resolve) => socket.once('data', (chunk) => resolve(chunk.toString())))
  }
  await sendRequest()
  const codes: unknown[] = []
  for (let count = 0; count < 22; count++) codes.push((await call(address, '/stock', { headers: { authorization: 'Bearer no' } })).headers['shunt-code'])
  expect([codes.slice(18), (await call(address, '/stock')).headers['shunt-code']]).toEqual([['1003', '1003', '1004', '1004'], '1004'])
  expect(await sendRequest()).toInclude('HTTP/1.1 200')
  socket.destroy()
})

// Guards against a reset by an unread body before the caller has read the refusal.
test('a refusal is delivered while the caller sends its body', async () => {
  const answer = await call(address, '/stock', { method: 'POST', body: Buffer.alloc(entryLimits.maxLingerBytes / 2) })
  expect(answer.headers['shunt-code']).toEqual('1004')
})
