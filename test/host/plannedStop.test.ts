import { test } from 'node:test'
import { expect } from 'earl'
import { hostLimits } from '../../src/host/hostLimits.js'
import { HostGroup } from '../support/HostGroup.js'
import { RawCaller } from '../support/RawCaller.js'

const callerCount = 12

/** Stops a host, and calls `act` at about the moment at which it closes its listener; waits for the stop. */
async function stopWith (group: HostGroup, delayMs: number, act: () => Promise<void>): Promise<void> {
  const stopped = group.hosts[0]!.stop()
  await new Promise((resolve) => setTimeout(resolve, delayMs))
  await act()
  await stopped
}

/** Blocks the event loop, as a burst of work does. */
function block (ms: number): void {
  const untilMs = performance.now() + ms
  while (performance.now() < untilMs);
}

// Guards against resetting connections that wait to be accepted when a busy host closes its listener.
test('connections that wait when the listener closes are answered', async () => {
  const group = await HostGroup.start(1, 4)
  const callers: RawCaller[] = []
  await stopWith(group, hostLimits.listenerCloseDelayMs - 30, async () => {
    for (let index = 0; index < callerCount; index++) callers.push(new RawCaller(group.connect()))
    // The timer that closes the listener is due before the host has accepted the connections.
    block(100)
    for (const [index, caller] of callers.entries()) caller.send(`q-${index}`, '/read/1', { object: String(index) })
    await Promise.all(callers.map(async (caller) => await caller.ended))
  })
  await group.stop()
  expect(callers.map((caller) => caller.responses[0]?.status ?? 0)).toEqual(callers.map(() => 200))
})

// Guards against closing a connection that has just been accepted before its request arrives.
test('a connection that was accepted just before the listener closed is answered', async () => {
  const group = await HostGroup.start(1, 4)
  const callers: RawCaller[] = []
  await stopWith(group, hostLimits.listenerCloseDelayMs - 30, async () => {
    for (let index = 0; index < callerCount; index++) callers.push(new RawCaller(group.connect()))
    await new Promise((resolve) => setTimeout(resolve, 100))
    for (const [index, caller] of callers.entries()) caller.send(`q-${index}`, '/read/1', { object: String(index) })
    await Promise.all(callers.map(async (caller) => await caller.ended))
  })
  await group.stop()
  expect(callers.map((caller) => caller.responses[0]?.status ?? 0)).toEqual(callers.map(() => 200))
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
