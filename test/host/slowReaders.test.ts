import type { Socket } from 'node:net'
import { test } from 'node:test'
import { expect } from 'earl'
import { entryLimits } from '../../src/entry/entryLimits.js'
import { collectGarbage } from '../support/collectGarbage.js'
import { HostGroup } from '../support/HostGroup.js'
import { RawEndpoint } from '../support/RawEndpoint.js'

const callers = 60
const pipelined = 16
const bodyBytes = 500_000
const body = Buffer.alloc(bodyBytes, 'x')
const callersPerCheck = 10
/** A host checks each 100 ms, so what two callers are sent may come in addition. */
const callerPauseMs = 60
/** Responses under way from the endpoint, and what arrives between two checks of the host: those of four callers, and some room. */
const otherBytes = 40_000_000

/** Returns the bytes of buffers that are in use. */
function readBufferBytes (): number {
  collectGarbage()
  return process.memoryUsage().arrayBuffers
}

function respond (socket: Socket, head: string): void {
  for (const [, id] of head.matchAll(/^X-Request-Id: (.*)\r$/gim)) {
    socket.write(`HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nX-Request-Id: ${id}\r\nContent-Length: ${bodyBytes}\r\n\r\n`)
    socket.write(body)
  }
}

/** Sends pipelined requests on a connection and reads none of their responses. */
function askAndNotRead (group: HostGroup, name: number): Socket {
  const socket = group.connect()
  socket.on('error', () => {})
  socket.pause()
  const requests = Array.from({ length: pipelined }, (_value, index) => `GET /read/${name}-${index} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: ${name}-${index}\r\nX-Deadline-Ms: 5000\r\n\r\n`)
  socket.write(requests.join(''))
  return socket
}

// Guards against callers who don't read their responses and whose bytes fill the memory of a host, which ends the requests of all others.
test('responses that callers do not read take a bounded part of the memory', async () => {
  const group = await HostGroup.start(1, 0)
  await group.addRawEndpoint(new RawEndpoint('big', respond))
  const sockets: Socket[] = []
  try {
    const beforeBytes = readBufferBytes()
    let mostBytes = 0
    for (let name = 0; name < callers; name++) {
      sockets.push(askAndNotRead(group, name))
      await new Promise((resolve) => setTimeout(resolve, callerPauseMs))
      if (name % callersPerCheck === 0) mostBytes = Math.max(mostBytes, readBufferBytes() - beforeBytes)
    }
    expect(mostBytes).toBeLessThan(entryLimits.maxUnsentBytes + otherBytes)
    expect(group.logger.lines.some((line) => line.includes('responses-not-read'))).toEqual(true)
    expect((await group.send({ id: 'reader' })).body.length).toEqual(bodyBytes)
  } finally {
    for (const socket of sockets) socket.destroy()
    await group.stop()
  }
})
