import { test } from 'node:test'
import { expect } from 'earl'
import { HostGroup } from '../support/HostGroup.js'
import { RawEndpoint } from '../support/RawEndpoint.js'

const orderCount = 10

/** Writes an entry of another writer at the address of a sound endpoint, and sends orders once the host has read it. */
async function sendOrdersBeside (id: string, change: Record<string, unknown>): Promise<number[]> {
  const group = await HostGroup.start(1, 1)
  try {
    group.store.tables.put('servers', id, { ...group.endpoints[0]!.describe('stock', 'north-a'), ...change })
    await group.addEndpoint('last')
    await group.waitUntil(() => group.logger.lines.some((line) => line.includes('endpoints-changed') && /known=[23]/.test(line)))
    const orders = Array.from({ length: orderCount }, async (_value, index) => await group.send({ method: 'POST', path: '/order/', object: String(index) }))
    return (await Promise.all(orders)).map(({ status }) => status)
  } finally {
    await group.stop()
  }
}

// Guards against an id that no header can carry, which ends the process when an order is sent to the endpoint (review/1).
test('an entry with an id outside of ASCII names no endpoint', async () => {
  expect(await sendOrdersBeside('i-t\u016branga-1', {})).toEqual(Array(orderCount).fill(200))
})

// Guards against orders to a server that is no endpoint, whose unsigned success reaches the caller (review/11, MIXED).
test('an entry without a start time names no endpoint', async () => {
  const paths: string[] = []
  const server = new RawEndpoint('odd', (socket, head) => {
    paths.push(head.split(' ', 2)[1]!)
    socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok')
  })
  await server.listen()
  try {
    expect([await sendOrdersBeside('odd', { ...server.describe('stock', 'north-a'), born: undefined }), paths]).toEqual([Array(orderCount).fill(200), []])
  } finally {
    server.close()
  }
})

// Guards against an address that can't be connected to, for which orders are never answered.
test('an entry with a port out of range names no endpoint', async () => {
  expect(await sendOrdersBeside('odd', { address: '127.0.0.1:70000' })).toEqual(Array(orderCount).fill(200))
})
