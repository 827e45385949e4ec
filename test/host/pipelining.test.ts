import { test } from 'node:test'
import { expect } from 'earl'
import { entryLimits } from '../../src/entry/entryLimits.js'
import { HostGroup } from '../support/HostGroup.js'
import { RawCaller } from '../support/RawCaller.js'

/** Runs a test with one host and one caller; every endpoint takes as many ms for a request as the number in its path says. */
async function withCaller (run: (group: HostGroup, caller: RawCaller) => Promise<void>): Promise<void> {
  const group = await HostGroup.start(1, 2)
  for (const endpoint of group.endpoints) endpoint.onRun = ({ path }) => { endpoint.serviceMs = Number(path.split('/').at(-1)) }
  const caller = new RawCaller(group.connect())
  try {
    await run(group, caller)
  } finally {
    caller.close()
    await group.stop()
  }
}

function listRunIds (group: HostGroup): string[] {
  return group.endpoints.flatMap((endpoint) => endpoint.runs.map((run) => run.id)).sort()
}

// Guards against a caller that receives the response to another of its requests, because a later request ended first.
test('pipelined requests are answered in order', async () => {
  await withCaller(async (_group, caller) => {
    caller.send('a', '/read/200', { object: '1' })
    caller.send('b', '/read/0', { object: '2' })
    caller.send('c', '/read/100', { object: '3' })
    await caller.waitForResponses(3)
    expect(caller.responses.map(({ id, closes }) => [id, closes])).toEqual([['a', false], ['b', false], ['c', false]])
  })
})

// Guards against a planned stop that closes a connection after the first response, while requests behind it are at endpoints.
test('a leaving host closes a connection with the last of the pipelined responses', async () => {
  await withCaller(async (group, caller) => {
    caller.send('a', '/read/300', { object: '1' })
    caller.send('b', '/read/200', { object: '2' })
    caller.send('c', '/read/300', { object: '3' })
    await group.waitUntil(() => listRunIds(group).length === 3)
    const stopped = group.hosts[0]!.stop()
    await caller.waitForResponses(3)
    expect(caller.responses.map(({ id, status, closes }) => [id, status, closes])).toEqual([['a', 200, false], ['b', 200, false], ['c', 200, true]])
    await caller.ended
    await stopped
  })
})

// Guards against running a request that arrives behind a response that closes the connection; the caller sends it again elsewhere.
test('a request behind a closing response is not run', async () => {
  await withCaller(async (group, caller) => {
    caller.send('a', '/read/200', { object: '1' })
    await group.waitUntil(() => listRunIds(group).length === 1)
    const stopped = group.hosts[0]!.stop()
    await caller.waitForResponses(1)
    caller.send('b', '/read/0', { object: '2' })
    await caller.ended
    await stopped
    expect([caller.responses.map(({ id, closes }) => [id, closes]), listRunIds(group)]).toEqual([[['a', true]], ['a']])
  })
})

// Guards against a planned stop that never closes the connection of a caller that always has a newer request under way; its
// requests were run until the process ended and cut then (review/4).
test('a leaving host runs no further requests behind those that are open', async () => {
  await withCaller(async (group, caller) => {
    caller.send('q-0', '/read/200')
    await group.waitUntil(() => listRunIds(group).length === 1)
    const startMs = performance.now()
    const stopped = group.hosts[0]!.stop()
    let sent = 1
    const timer = setInterval(() => caller.send(`q-${sent++}`, '/read/200'), 50)
    await caller.ended
    clearInterval(timer)
    expect([caller.responses.map(({ id, status, closes }) => [id, status, closes]), listRunIds(group)]).toEqual([[['q-0', 200, true]], ['q-0']])
    expect(performance.now() - startMs < 1_000).toEqual(true)
    await stopped
  })
})

// Guards against a refusal that cuts the requests before it, and against running those behind a body that is not read.
test('a body that is too long ends the connection after the responses before it', async () => {
  await withCaller(async (group, caller) => {
    caller.send('a', '/read/200', { object: '1' })
    caller.send('b', '/read/0', { object: '2', contentLength: 2_000_000 })
    await group.waitUntil(() => listRunIds(group).length === 1)
    caller.send('c', '/read/0', { object: '3' })
    await caller.ended
    expect(caller.responses.map(({ status, closes }) => [status, closes])).toEqual([[200, false], [413, true]])
    expect(listRunIds(group)).toEqual(['a'])
  })
})

// Guards against a refused request that takes the responses of the requests around it with it.
test('a refusal leaves the connection open for the requests around it', async () => {
  await withCaller(async (group, caller) => {
    caller.send('a', '/read/100', { object: '1' })
    caller.send('b', '/nowhere/0')
    caller.send('c', '/read/0', { object: '3' })
    await caller.waitForResponses(3)
    expect(caller.responses.map(({ status, closes }) => [status, closes])).toEqual([[200, false], [404, false], [200, false]])
    expect(listRunIds(group)).toEqual(['a', 'c'])
  })
})

// Guards against a lost response when a caller sends more although it has asked for the connection to be closed.
test('requests behind one that asks for a close are not run', async () => {
  await withCaller(async (group, caller) => {
    caller.sendAll([['a', '/read/100', { object: '1', closes: true }], ['b', '/read/0', { object: '2' }], ['c', '/read/0', { object: '3' }]])
    await caller.ended
    expect([caller.responses.map(({ id, status, closes }) => [id, status, closes]), listRunIds(group)]).toEqual([[['a', 200, true]], ['a']])
  })
})

// Guards against requests that keep their slots, or reach further endpoints, after the caller has gone.
test('a caller that leaves ends all of its pipelined requests', async () => {
  await withCaller(async (group, caller) => {
    caller.send('a', '/read/900', { object: '1' })
    caller.send('b', '/read/900', { object: '2' })
    caller.send('c', '/read/900', { object: '3' })
    await group.waitUntil(() => listRunIds(group).length === 3)
    caller.close()
    await group.waitUntil(() => group.logger.lines.filter((line) => line.includes('caller-left')).length === 3)
    expect(listRunIds(group)).toEqual(['a', 'b', 'c'])
  })
})

// Guards against one connection that takes all slots, or all memory, of a host.
test('a connection has a bounded number of open requests', async () => {
  await withCaller(async (group, caller) => {
    for (const endpoint of group.endpoints) endpoint.behaviour = 'silent'
    caller.sendAll(Array.from({ length: 100 }, (_value, index) => [`q-${index}`, '/read/0', { object: String(index) }]))
    await caller.ended
    expect([caller.responses.length, new Set(listRunIds(group)).size <= entryLimits.maxPipelinedRequests]).toEqual([entryLimits.maxPipelinedRequests, true])
  })
})

// Guards against a lost response when bytes that are no request follow on the connection.
test('requests before unreadable bytes are answered', async () => {
  await withCaller(async (group, caller) => {
    caller.send('a', '/read/100', { object: '1' })
    caller.sendBytes('\0\0\0 no request\r\n\r\n')
    await caller.ended
    expect([caller.responses.map(({ id, status, closes }) => [id, status, closes]), listRunIds(group)]).toEqual([[['a', 200, false], ['', 400, true]], ['a']])
  })
})
