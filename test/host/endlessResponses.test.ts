import { test } from 'node:test'
import { expect } from 'earl'
import { HostGroup } from '../support/HostGroup.js'
import { RawCaller } from '../support/RawCaller.js'
import { RawEndpoint } from '../support/RawEndpoint.js'
import { writeEndlessly } from '../support/writeEndlessly.js'

/** Starts a host with one endpoint that writes `first` and then `more` without end, and `good` sound endpoints. */
async function withEndless (first: string, more: string, good: number, run: (group: HostGroup, endless: RawEndpoint) => Promise<void>): Promise<void> {
  const group = await HostGroup.start(1, good)
  const endless = new RawEndpoint('endless', (socket) => writeEndlessly(socket, { first, more }))
  await group.addRawEndpoint(endless)
  try {
    await run(group, endless)
  } finally {
    await group.stop()
  }
}

// Guards against an idempotent request that is held by an endpoint in trouble although another one can answer it.
test('a request is answered by another endpoint when the response is no response', async () => {
  await withEndless('\0', 'x'.repeat(1_000), 1, async (group, endless) => {
    for (let index = 0; index < 20; index++) expect((await group.send({ object: String(index) })).status).toEqual(200)
    await group.waitUntil(() => endless.closedConnections > 0)
  })
})

// Guards against a second run of a request whose endpoint answers with bytes that are no response.
test('a non-idempotent request is not repeated when its response has no end', async () => {
  await withEndless('HTTP/1.1 200 OK\r\nX-A: ', 'x'.repeat(1_000), 0, async (group, endless) => {
    await group.addEndpoint('good')
    const answers = await Promise.all(Array.from({ length: 20 }, async (_value, index) => await group.send({ method: 'POST', path: '/order/', id: `o-${index}`, object: String(index) })))
    const runs = group.endpoints[0]!.runs.map((run) => run.id)
    const failed = answers.filter(({ status }) => status === 502).length
    expect([failed > 0, answers.filter(({ status }) => status === 200).length, new Set(runs).size]).toEqual([true, 20 - failed, 20 - failed])
    await group.waitUntil(() => endless.closedConnections === failed)
  })
})

// Guards against a body without end that is passed on for ever, or whose end at the deadline looks complete.
test('a body without end is cut at the timeout of the route', async () => {
  const head = 'HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n'
  await withEndless(head, `400\r\n${'x'.repeat(0x400)}\r\n`, 0, async (group, endless) => {
    const caller = new RawCaller(group.connect())
    const startMs = performance.now()
    caller.send('a', '/read/1')
    await caller.ended
    expect([performance.now() - startMs < 2_000, caller.received.endsWith('0\r\n\r\n')]).toEqual([true, false])
    await group.waitUntil(() => endless.closedConnections === 1)
  })
})

// Guards against a body in chunks of one byte without end, which filled the heap of a host and ended its process (review/2).
test('a body of one-byte chunks without end is given up before it fills the memory', async () => {
  const head = 'HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n'
  await withEndless(head, '1\r\nx\r\n'.repeat(10_000), 1, async (group, endless) => {
    const answers = await Promise.all(Array.from({ length: 20 }, async (_value, index) => await group.send({ object: String(index) })))
    expect(answers.map(({ status, body }) => [status, body])).toEqual(Array(20).fill([200, 'done e-0']))
    await group.waitUntil(() => endless.closedConnections > 0)
  })
})

// Guards against bytes that the parser skips, which cost processor time and the whole time of a request that another endpoint can answer.
test('a request is answered by another endpoint when empty lines or a chunk size have no end', async () => {
  const head = 'HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n'
  for (const [first, more] of [['', '\r\n'.repeat(8_000)], [head, '0'.repeat(16_000)]] as const) {
    await withEndless(first, more, 1, async (group, endless) => {
      const answers = await Promise.all(Array.from({ length: 20 }, async (_value, index) => await group.send({ object: String(index) })))
      expect(answers.map(({ status, body }) => [status, body])).toEqual(Array(20).fill([200, 'done e-0']))
      await group.waitUntil(() => endless.closedConnections > 0 && group.logger.lines.some((line) => line.includes('response-framing-too-long')))
    })
  }
})

// Guards against a request that waits for its deadline because its connection closed without an error.
test('a response that switches protocols is a failure at once', async () => {
  await withEndless('HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n', 'x'.repeat(1_000), 0, async (group, endless) => {
    const startMs = performance.now()
    const { status } = await group.send({ method: 'POST', path: '/order/' })
    expect([status, performance.now() - startMs < 500]).toEqual([502, true])
    await group.waitUntil(() => endless.closedConnections > 0)
  })
})
