import { test } from 'node:test'
import { expect } from 'earl'
import { HostGroup } from '../support/HostGroup.js'
import { RawCaller } from '../support/RawCaller.js'

/** Sends a slow request on one connection and `head` on another; returns the statuses of both, and of a request behind `head`. */
async function sendBeside (head: string): Promise<number[]> {
  const group = await HostGroup.start(1, 1)
  group.endpoints[0]!.serviceMs = 100
  const [neighbour, odd] = [new RawCaller(group.connect()), new RawCaller(group.connect())]
  try {
    neighbour.send('slow', '/read/1')
    await group.waitUntil(() => group.endpoints[0]!.runs.length === 1)
    odd.sendBytes(`${head}\r\n\r\n`)
    odd.send('behind', '/read/2')
    await Promise.all([neighbour.waitForResponses(1), odd.waitForResponses(2)])
    return [...neighbour.responses, ...odd.responses].map(({ status }) => status)
  } finally {
    neighbour.close()
    odd.close()
    await group.stop()
  }
}

// Guards against a request that the parser accepts and that can't be passed on: one such request ended the process.
test('a request target with a character that is not allowed gets status 400', async () => {
  for (const target of ['/order/a\tb', '/order/a\fb', '/order/a\u00ffb']) {
    expect(await sendBeside(`POST ${target} HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 0`)).toEqual([200, 400, 200])
  }
})

// Guards against the same by a header.
test('a header name with a character that is not allowed gets status 400', async () => {
  for (const line of ['X Odd: 1', 'X-Odd : 1', ': 1']) {
    expect(await sendBeside(`POST /order/ HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 0\r\n${line}`)).toEqual([200, 400, 200])
  }
})
