import type { Socket } from 'node:net'
import { test } from 'node:test'
import { expect } from 'earl'
import { sleep } from '../../src/common/sleep.js'
import { entryLimits } from '../../src/entry/entryLimits.js'
import { HostGroup } from '../support/HostGroup.js'
import { RawCaller } from '../support/RawCaller.js'
import { RawEndpoint } from '../support/RawEndpoint.js'

/** Time in ms after which endpoints must not work any more for a caller that has left, as the platform's rules say. */
const leftMs = 500
const settleMs = 100

/** A host with one endpoint that answers `/read/slow` when told to, and other paths at once with as many bytes as they name. */
class Play {
  /** Names of the requests that have reached the endpoint. */
  readonly arrivals: string[] = []
  /** Connection to the endpoint of each request. */
  readonly sockets = new Map<string, Socket>()
  private readonly slow = new Map<string, Socket>()

  private constructor (readonly group: HostGroup, readonly socket: Socket, readonly caller: RawCaller) {}

  static async run (play: (play: Play) => Promise<void>): Promise<void> {
    const group = await HostGroup.start(1, 0)
    const socket = group.connect()
    const current = new Play(group, socket, new RawCaller(socket))
    try {
      await group.addRawEndpoint(new RawEndpoint('e', (socket, head) => current.receive(socket, head)))
      await play(current)
    } finally {
      current.caller.close()
      await group.stop()
    }
  }

  /** Number of requests that the endpoint works on for a connection that is still open. */
  get working (): number {
    return [...this.slow.values()].filter((socket) => !socket.destroyed).length
  }

  async waitForArrivals (count: number): Promise<void> {
    await this.group.waitUntil(() => this.arrivals.length >= count)
    await sleep(settleMs)
  }

  async expectEnd (): Promise<void> {
    const endMs = performance.now() + leftMs
    while (this.working > 0 && performance.now() < endMs) await sleep(5)
    expect(this.working).toEqual(0)
  }

  answerSlow (): void {
    for (const [id, socket] of this.slow) respond(socket, id, 2)
    this.slow.clear()
  }

  private receive (socket: Socket, head: string): void {
    const id = /^X-Request-Id: (.*)\r$/im.exec(head)?.[1]
    if (id === undefined) return
    const kind = /^GET \/read\/(\w+)/.exec(head)?.[1] ?? ''
    this.arrivals.push(id)
    this.sockets.set(id, socket)
    if (kind === 'slow') this.slow.set(id, socket)
    else respond(socket, id, Number(kind))
  }
}

function respond (socket: Socket, id: string, bytes: number): void {
  socket.write(`HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nX-Request-Id: ${id}\r\nContent-Length: ${bytes}\r\n\r\n${'x'.repeat(bytes)}`)
}

// Guards against endpoints that work on for a caller that has left, because its connection isn't read while responses wait (review/10).
for (const [name, leave] of [['leaves', (socket: Socket) => socket.destroy()], ['resets its connection', (socket: Socket) => socket.resetAndDestroy()]] as const) {
  test(`a caller that ${name} while a long response waits for its turn ends its requests`, async () => {
    await Play.run(async (play) => {
      play.caller.send('a', '/read/slow')
      play.caller.send('b', '/read/20000')
      await play.waitForArrivals(2)
      play.caller.send('c', '/read/slow')
      await play.waitForArrivals(3)
      expect(play.working).toEqual(2)
      leave(play.socket)
      await play.expectEnd()
    })
  })
}

// Guards against the same with responses that are short each.
test('a caller that leaves while many short responses wait for their turn ends its requests', async () => {
  await Play.run(async (play) => {
    play.caller.send('a', '/read/slow')
    for (let index = 0; index < 10; index++) play.caller.send(`b-${index}`, '/read/2000')
    await play.waitForArrivals(11)
    play.caller.send('c', '/read/slow')
    await play.waitForArrivals(12)
    play.caller.close()
    await play.expectEnd()
  })
})

// Guards against the same with a response that is passed on as it arrives, whose endpoint must be released too.
test('a caller that leaves while a streamed response waits for its turn ends its requests', async () => {
  await Play.run(async (play) => {
    play.caller.send('a', '/read/slow')
    play.caller.send('b', '/read/900000')
    await play.waitForArrivals(2)
    play.caller.send('c', '/read/slow')
    await play.waitForArrivals(3)
    play.caller.close()
    await play.expectEnd()
    expect(play.sockets.get('b')!.destroyed).toEqual(true)
  })
})

// Guards against a caller's end that counts as an unreadable request, after which the requests before it go on.
for (const [name, kind] of [['a further request', '2'], ['a further request behind waiting responses', '20000']] as const) {
  test(`a caller that leaves in the middle of ${name} ends its requests`, async () => {
    await Play.run(async (play) => {
      play.caller.send('a', '/read/slow')
      play.caller.send('b', `/read/${kind}`)
      await play.waitForArrivals(2)
      play.caller.sendBytes('GET /read/2 HTTP/1.1\r\nHost: sho')
      await sleep(settleMs)
      play.caller.close()
      await play.expectEnd()
    })
  })
}

// Guards against the body of a request that isn't run, which nobody takes, so that what follows it isn't read.
test('a caller that leaves behind a request beyond the limit ends its requests', async () => {
  await Play.run(async (play) => {
    for (let index = 0; index < entryLimits.maxPipelinedRequests; index++) play.caller.send(`a-${index}`, '/read/slow')
    await play.waitForArrivals(entryLimits.maxPipelinedRequests)
    play.caller.send('b', '/read/2', { contentLength: 200_000 })
    play.caller.sendBytes('x'.repeat(100_000))
    await sleep(settleMs)
    play.caller.close()
    await play.expectEnd()
  })
})

// Guards against requests that are read ahead and passed on: they would fill the memory with responses, and run for nobody.
test('a request that is held behind waiting responses is not passed on after its caller has left', async () => {
  await Play.run(async (play) => {
    play.caller.send('a', '/read/slow')
    play.caller.send('b', '/read/20000')
    await play.waitForArrivals(2)
    for (const id of ['c', 'd', 'e']) play.caller.send(id, '/read/2')
    await play.waitForArrivals(3)
    expect(play.arrivals).toEqual(['a', 'b', 'c'])
    play.caller.close()
    await play.expectEnd()
    await sleep(settleMs)
    expect(play.arrivals).toEqual(['a', 'b', 'c'])
  })
})

// Guards against held requests that are forgotten or answered out of order.
test('held requests are answered in order once fewer responses wait', async () => {
  await Play.run(async (play) => {
    play.caller.send('a', '/read/slow')
    play.caller.send('b', '/read/20000')
    await play.waitForArrivals(2)
    for (let index = 0; index < 30; index++) play.caller.send(`c-${index}`, index % 7 === 0 ? '/read/20000' : '/read/2')
    await play.waitForArrivals(3)
    play.answerSlow()
    await play.caller.waitForResponses(32)
    expect(play.caller.responses.map(({ id, closes }) => [id, closes])).toEqual(['a', 'b', ...Array.from({ length: 30 }, (_value, index) => `c-${index}`)].map((id) => [id, false]))
  })
})

// Guards against a held request that gets its whole deadline again when it is handled, and runs for a caller that has given up.
test('the deadline of a held request counts from its arrival', async () => {
  await Play.run(async (play) => {
    play.caller.send('a', '/read/slow')
    play.caller.send('b', '/read/20000')
    await play.waitForArrivals(2)
    play.caller.send('c', '/read/2')
    play.caller.sendBytes('GET /read/2 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: d\r\nX-Deadline-Ms: 200\r\n\r\n')
    await sleep(2 * settleMs + 200)
    play.answerSlow()
    await play.caller.waitForResponses(4)
    expect([play.caller.responses.map(({ id, status }) => [id, status]), play.arrivals]).toEqual([[['a', 200], ['b', 200], ['c', 200], ['d', 504]], ['a', 'b', 'c']])
  })
})

// Guards against held requests that a leaving host runs, or behind which its last response doesn't close the connection.
test('a leaving host answers what it has passed on and runs no held requests', async () => {
  await Play.run(async (play) => {
    play.caller.send('a', '/read/slow')
    play.caller.send('b', '/read/20000')
    await play.waitForArrivals(2)
    for (const id of ['c', 'd', 'e']) play.caller.send(id, '/read/2')
    await play.waitForArrivals(3)
    const stopped = play.group.hosts[0]!.stop()
    play.answerSlow()
    await play.caller.ended
    await stopped
    expect([play.caller.responses.map(({ id, closes }) => [id, closes]), play.arrivals]).toEqual([[['a', false], ['b', false], ['c', true]], ['a', 'b', 'c']])
  })
})

// Guards against a refusal of bytes that are no request, which the caller would take for the response to a held request.
test('unreadable bytes behind held requests end the connection without a refusal', async () => {
  await Play.run(async (play) => {
    play.caller.send('a', '/read/slow')
    play.caller.send('b', '/read/20000')
    await play.waitForArrivals(2)
    for (const id of ['c', 'd']) play.caller.send(id, '/read/2')
    await play.waitForArrivals(3)
    play.caller.sendBytes('\0\0\0 no request\r\n\r\n')
    await sleep(settleMs)
    play.answerSlow()
    await play.caller.ended
    expect([play.caller.responses.map(({ id }) => id), play.arrivals]).toEqual([['a', 'b', 'c'], ['a', 'b', 'c']])
  })
})

// Guards against a caller that fills the memory with requests that are held.
test('a connection with too many held requests ends after its open responses', async () => {
  await Play.run(async (play) => {
    play.caller.send('a', '/read/slow')
    play.caller.send('b', '/read/20000')
    await play.waitForArrivals(2)
    for (let index = 0; index <= entryLimits.maxHeldRequests + 1; index++) play.caller.send(`c-${index}`, '/read/2')
    await play.waitForArrivals(3)
    play.answerSlow()
    await play.caller.ended
    expect([play.caller.responses.map(({ id, closes }) => [id, closes]), play.arrivals]).toEqual([[['a', false], ['b', false], ['c-0', true]], ['a', 'b', 'c-0']])
  })
})
