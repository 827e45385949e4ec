import { test } from 'node:test'
import { expect } from 'earl'
import { hostLimits } from '../../src/host/hostLimits.js'
import { HostGroup } from '../support/HostGroup.js'
import { RawCaller } from '../support/RawCaller.js'
import { RawEndpoint } from '../support/RawEndpoint.js'

const callerCount = 12
/** Time in ms between the caller's request and the closing of the listener. */
const beforeCloseMs = 200
/** More than fits into the receive buffer of a caller that doesn't read; the kernel takes it all the same. */
const longBodyBytes = 400_000

/** Connects callers shortly before a host closes its listener, lets them send after `pause`, and returns the statuses they get. */
async function sendDuringStop (pause: () => Promise<void> | void): Promise<number[]> {
  const group = await HostGroup.start(1, 4)
  const stopped = group.hosts[0]!.stop()
  await new Promise((resolve) => setTimeout(resolve, hostLimits.listenerCloseDelayMs - 30))
  const callers = Array.from({ length: callerCount }, () => new RawCaller(group.connect()))
  await pause()
  for (const [index, caller] of callers.entries()) caller.send(`q-${index}`, '/read/1', { object: String(index) })
  await Promise.all(callers.map(async (caller) => await caller.ended))
  await stopped
  await group.stop()
  return callers.map((caller) => caller.responses[0]?.status ?? 0)
}

/** Blocks the event loop, as a burst of work does. */
function block (ms: number): void {
  const untilMs = performance.now() + ms
  while (performance.now() < untilMs);
}

// Guards against resetting connections that wait to be accepted when a busy host closes its listener.
test('connections that wait when the listener closes are answered', async () => {
  // After the block, the timer that closes the listener is due before the host has accepted the connections.
  expect(await sendDuringStop(() => block(100))).toEqual(Array(callerCount).fill(200))
})

// Guards against closing a connection that has just been accepted before its request arrives.
test('a connection that was accepted just before the listener closed is answered', async () => {
  const pause = async (): Promise<void> => { await new Promise((resolve) => setTimeout(resolve, 100)) }
  expect(await sendDuringStop(pause)).toEqual(Array(callerCount).fill(200))
})

// Guards against a stop that waits for callers that keep idle connections open.
test('idle connections don\'t delay a planned stop', async () => {
  const group = await HostGroup.start(1, 1)
  const caller = new RawCaller(group.connect())
  caller.send('a', '/read/1')
  await caller.waitForResponses(1)
  const startMs = performance.now()
  await group.hosts[0]!.stop()
  const elapsedMs = performance.now() - startMs
  await group.stop()
  expect(elapsedMs < hostLimits.listenerCloseDelayMs + 1_000).toEqual(true)
})

// Guards against a stop that ends the process, and resets connections, while callers still take their last responses.
test('a planned stop leaves callers the time to take their responses', async () => {
  const group = await HostGroup.start(1, 0)
  await group.addRawEndpoint(new RawEndpoint('long', (socket, head) => {
    const id = /^X-Request-Id: (.*)\r$/im.exec(head)?.[1]
    const answer = `HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nX-Request-Id: ${id}\r\nContent-Length: ${longBodyBytes}\r\n\r\n${'x'.repeat(longBodyBytes)}`
    if (id !== undefined) setTimeout(() => socket.write(answer), 2 * beforeCloseMs)
  }))
  const socket = group.connect()
  const caller = new RawCaller(socket)
  socket.pause()
  const stopped = group.hosts[0]!.stop()
  await new Promise((resolve) => setTimeout(resolve, hostLimits.listenerCloseDelayMs - beforeCloseMs))
  caller.send('long', '/read/1')
  await group.waitUntil(() => group.logger.lines.some((line) => line.includes('answered') && line.includes('id=long')))
  await new Promise((resolve) => setTimeout(resolve, 100))
  caller.send('late', '/read/2')
  await new Promise((resolve) => setTimeout(resolve, 50))
  socket.resume()
  await Promise.all([caller.ended, stopped])
  await group.stop()
  expect([caller.responses.map(({ status }) => status), caller.received.length > longBodyBytes]).toEqual([[200], true])
})
