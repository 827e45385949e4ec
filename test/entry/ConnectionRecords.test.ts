import { Socket } from 'node:net'
import { test } from 'node:test'
import { expect } from 'earl'
import { ConnectionRecords } from '../../src/entry/ConnectionRecords.js'
import { entryLimits } from '../../src/entry/entryLimits.js'
import { collectGarbage } from '../support/collectGarbage.js'

const idBytes = 12_000
const connections = 200
/** Far below what the ids take (77 MB), and above the sockets and the records. */
const maxHeapBytes = 8_000_000

// Guards against long ids of refused requests that fill the memory of a process.
test('refused requests with long ids take little memory', () => {
  const records = new ConnectionRecords()
  const sockets = Array.from({ length: connections }, () => new Socket())
  for (const socket of sockets) records.count(socket)
  collectGarbage()
  const beforeBytes = process.memoryUsage().heapUsed
  for (const [index, socket] of sockets.entries()) {
    for (let count = 0; count < entryLimits.maxRefusedIds; count++) records.recordRefusal(socket, Buffer.alloc(idBytes, `${index}-${count} `).toString('latin1'))
  }
  collectGarbage()
  expect(process.memoryUsage().heapUsed - beforeBytes).toBeLessThan(maxHeapBytes)
  expect(sockets.some((socket) => records.isReusable(socket))).toEqual(false)
})
