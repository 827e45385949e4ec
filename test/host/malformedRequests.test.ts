import { test } from 'node:test'
import { expect } from 'earl'
import { HostGroup } from '../support/HostGroup.js'
import { RawCaller } from '../support/RawCaller.js'

type Response = readonly [status: number, closes: boolean]

/** What callers and endpoints see of an odd head. */
interface Outcome {
  readonly neighbour: readonly Response[]
  readonly odd: readonly Response[]
  readonly runIds: readonly string[]
}

/** Sends a slow request on one connection; on another one a request, then `head`, then a request behind it. */
async function sendBeside (head: string): Promise<Outcome> {
  const group = await HostGroup.start(1, 1)
  const endpoint = group.endpoints[0]!
  endpoint.serviceMs = 100
  const [neighbour, odd] = [new RawCaller(group.connect()), new RawCaller(group.connect())]
  const list = (caller: RawCaller): Response[] => caller.responses.map(({ status, closes }) => [status, closes])
  try {
    neighbour.send('slow', '/read/1')
    odd.send('before', '/read/2')
    await group.waitUntil(() => endpoint.runs.length === 2)
    odd.sendBytes(`${head}\r\n\r\n`)
    odd.send('behind', '/read/3')
    await Promise.all([neighbour.waitForResponses(1), odd.ended])
    return { neighbour: list(neighbour), odd: list(odd), runIds: endpoint.runs.map(({ id }) => id).sort() }
  } finally {
    neighbour.close()
    odd.close()
    await group.stop()
  }
}

/** An odd head gets 400 after the responses due, on a connection that closes; what is behind it is not read. */
const refused: Outcome = { neighbour: [[200, false]], odd: [[200, false], [400, true]], runIds: ['before', 'slow'] }

// Guards against a request that some parsers accept and that can't be passed on: one such request ended the process.
test('a request target with a character that is not allowed gets status 400', async () => {
  for (const target of ['/order/a\tb', '/order/a\fb', '/order/a\u00ffb']) {
    expect(await sendBeside(`POST ${target} HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 0`)).toEqual(refused)
  }
})

// Guards against the same by a header.
test('a header with a character that is not allowed gets status 400', async () => {
  for (const line of ['X Odd: 1', 'X-Odd : 1', ': 1', 'X-Odd: \0']) {
    expect(await sendBeside(`POST /order/ HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 0\r\n${line}`)).toEqual(refused)
  }
})

// Guards against a refusal that is lost in a reset because the caller goes on sending.
test('a refusal of an odd head arrives although the caller sends more', async () => {
  // Every parser refuses the second head.
  for (const line of ['POST /order/a\tb HTTP/1.1', 'POST /order/a HTTP/1.1\r\nX-Odd: \0']) {
    const group = await HostGroup.start(1, 1)
    const caller = new RawCaller(group.connect())
    try {
      caller.sendBytes(`${line}\r\nHost: shop.example\r\nContent-Length: 0\r\n\r\n`)
      for (let index = 0; index < 10; index++) {
        caller.send(`behind-${index}`, '/read/1')
        await new Promise((resolve) => setTimeout(resolve, 10))
      }
      await caller.ended
      expect([caller.responses.map(({ status }) => status), group.endpoints[0]!.runs.length]).toEqual([[400], 0])
    } finally {
      caller.close()
      await group.stop()
    }
  }
})
