import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { test } from 'node:test'
import { expect } from 'earl'
import { PlatformEndpoint } from '../../dev/store/PlatformEndpoint.js'

/** Longer in ms than the latest copy takes. */
const waitMs = 600

async function withConnection (behaviour: PlatformEndpoint['behaviour'], run: (socket: Socket, endpoint: PlatformEndpoint) => Promise<void>): Promise<void> {
  const endpoint = new PlatformEndpoint('e-1')
  endpoint.behaviour = behaviour
  const [host, port] = (await endpoint.listen()).split(':')
  const socket = connect(Number(port), host)
  try {
    await run(socket, endpoint)
  } finally {
    socket.destroy()
    endpoint.close()
  }
}

/** Sends a request; returns the status and the id of each response that arrives until `waitMs` later. */
async function send (socket: Socket, expected: string): Promise<string[]> {
  let received = ''
  const record = (chunk: Buffer): void => { received += chunk.toString() }
  socket.on('data', record)
  socket.write(`POST /order/1 HTTP/1.1\r\nHost: a\r\nX-Request-Id: o-1\r\nX-Expect-Instance: ${expected}\r\nContent-Length: 0\r\n\r\n`)
  await new Promise((resolve) => setTimeout(resolve, waitMs))
  socket.off('data', record)
  return received.split('HTTP/1.1 ').slice(1).map((response) => `${response.slice(0, 3)} ${/X-Request-Id: (\S+)/.exec(response)?.[1] ?? 'none'}`)
}

// Guards against a soak whose endpoints never repeat a refusal, in which an order that runs twice by one isn't found.
test('a stand-in that repeats refusals writes a copy when the refused request arrives again', async () => {
  await withConnection('repeat', async (socket, endpoint) => {
    expect(await send(socket, 'e-earlier')).toEqual(['421 o-1'])
    expect(await send(socket, 'e-1')).toEqual(['421 o-1', '200 o-1'])
    expect(endpoint.runs.length).toEqual(1)
  })
})

// Guards against copies of responses of one kind only.
test('a stand-in with surplus responses copies refusals too, with an id and without one', async () => {
  await withConnection('extra', async (socket) => {
    const received: string[][] = []
    for (const expected of ['e-earlier', 'e-earlier', 'e-1', 'e-1']) received.push(await send(socket, expected))
    expect(received).toEqual([['421 o-1', '421 o-1'], ['421 o-1', '421 none'], ['200 o-1', '200 o-1'], ['200 o-1', '200 none']])
  })
})
