import { test } from 'node:test'
import { expect } from 'earl'
import { HostGroup } from '../support/HostGroup.js'
import { RawCaller } from '../support/RawCaller.js'
import { RawEndpoint } from '../support/RawEndpoint.js'

/** Heads that the parser of Node.js accepts and that can't be passed on. */
const heads = ['HTTP/1.1 020 0OK', 'HTTP/1.1 101 Switching Protocols', 'HTTP/1.1 999 Odd', 'HTTP/1.1 200 OK\r\nX Odd: 1', 'HTTP/1.1 200 OK\r\n: 1']

/** Pipelines three requests behind a slow one to a host with a sound endpoint and one that answers with `head`; returns all statuses. */
async function pipelineTo (head: string, path: string): Promise<Array<readonly [id: string, status: number]>> {
  const group = await HostGroup.start(1, 1)
  await group.addRawEndpoint(new RawEndpoint('odd', (socket, request) => {
    const id = /^x-request-id: (.*)$/im.exec(request)?.[1] ?? ''
    socket.write(`${head}\r\nX-Request-Id: ${id}\r\nX-Server-Signature: s\r\nContent-Length: 0\r\n\r\n`)
  }))
  const caller = new RawCaller(group.connect())
  try {
    for (let index = 0; index < 8; index++) caller.send(`q-${index}`, path, { object: String(index) })
    await caller.waitForResponses(8)
    return caller.responses.map(({ id, status }) => [id, status])
  } finally {
    caller.close()
    await group.stop()
  }
}

// Guards against an unreadable head of one response that closes the caller's connection with all its requests (review/5), and
// against a status 101 that is passed on and leaves its request without an answer.
test('an unreadable head affects no other request of the connection', async () => {
  for (const head of heads) {
    expect(await pipelineTo(head, '/read/1')).toEqual(Array.from({ length: 8 }, (_value, index) => [`q-${index}`, 200]))
  }
})
