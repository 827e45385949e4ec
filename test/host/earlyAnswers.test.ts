import { test } from 'node:test'
import { expect } from 'earl'
import { HostGroup } from '../support/HostGroup.js'
import { RawCaller } from '../support/RawCaller.js'
import { RawEndpoint } from '../support/RawEndpoint.js'

const sentBytes = 1_000
/** Above the size up to which a host holds a body back before it passes it on. */
const declaredBytes = 900_000
const idHeaders = (head: string): string => `X-Request-Id: ${/^x-request-id: (.*)\r$/im.exec(head)?.[1] ?? ''}\r\nX-Server-Signature: s\r\n`

/** Sends the start of a long upload to a host whose endpoint answers with `response` and ends its connection in order; returns what the caller receives. */
async function answerEarly (response: (ids: string) => string): Promise<string> {
  const group = await HostGroup.start(1, 0)
  try {
    await group.addRawEndpoint(new RawEndpoint('early', (socket, head) => {
      if (head.startsWith('POST')) socket.end(response(idHeaders(head)))
    }))
    const caller = new RawCaller(group.connect())
    caller.sendBytes(`POST /order/ HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: a\r\nX-Deadline-Ms: 2000\r\nContent-Length: ${declaredBytes}\r\n\r\n${'u'.repeat(sentBytes)}`)
    await caller.waitForResponses(1)
    caller.close()
    return caller.received
  } finally {
    await group.stop()
  }
}

// Guards against a part of a response that a caller gets as the whole, since the endpoint gave up during the upload (issue 47).
test('a response without a length that ends during an upload is a 502 for the caller', async () => {
  for (const heads of ['', 'Connection: close\r\n', 'Transfer-Encoding: identity\r\n']) {
    const received = await answerEarly((ids) => `HTTP/1.1 200 OK\r\n${ids}${heads}\r\npart`)
    expect([received.slice(0, 'HTTP/1.1 502'.length), received.includes('part'), received.includes('X-Server-Signature')]).toEqual(['HTTP/1.1 502', false, false])
  }
})

// Guards against an answer with status 000 that a caller gets (issue 47).
test('a response with status 000 is a 502 for the caller', async () => {
  const received = await answerEarly((ids) => `HTTP/1.1 000 X\r\n${ids}Content-Length: 5\r\n\r\nwhole`)
  expect([received.slice(0, 'HTTP/1.1 502'.length), received.includes('whole')]).toEqual(['HTTP/1.1 502', false])
})

// Guards against refusing an early answer that is known to be whole.
test('a response with a length or in chunks that comes during an upload reaches the caller', async () => {
  for (const rest of ['Content-Length: 5\r\n\r\nwhole', 'Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n']) {
    const received = await answerEarly((ids) => `HTTP/1.1 413 Full\r\n${ids}${rest}`)
    expect([received.slice(0, 'HTTP/1.1 413'.length), received.includes('whole')]).toEqual(['HTTP/1.1 413', true])
  }
})
