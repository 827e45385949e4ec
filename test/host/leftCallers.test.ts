import { test } from 'node:test'
import { Worker } from 'node:worker_threads'
import { expect } from 'earl'
import { sleep } from '../../src/common/sleep.js'
import { HostGroup } from '../support/HostGroup.js'

const stallTimeoutMs = 5_000
const settleMs = 200
const leavingCallers = new URL('../support/leavingCallers.js', import.meta.url)

function formatRequest (id: string, { method = 'GET', path = '/read/1', body = '' } = {}): string {
  return `${method} ${path} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: ${id}\r\nX-Deadline-Ms: 900\r\nContent-Length: ${body.length}\r\n\r\n${body}`
}

/** Stops the event loop of the hosts while callers connect, send their requests and leave; returns the ids that reached endpoints. */
async function leaveDuringStall (requests: readonly string[]): Promise<string[]> {
  const group = await HostGroup.start()
  try {
    return await listArrivals(group, requests)
  } finally {
    await group.stop()
  }
}

async function listArrivals (group: HostGroup, requests: readonly string[]): Promise<string[]> {
  const arrivals: string[] = []
  for (const endpoint of group.endpoints) endpoint.onArrival = (id) => arrivals.push(id)
  const state = new Int32Array(new SharedArrayBuffer(4))
  const worker = new Worker(leavingCallers, { workerData: { address: group.settings[0]!.listen.callers, requests, waitMs: 50, state } })
  // The worker needs this thread until it runs.
  await new Promise((resolve) => worker.once('online', resolve))
  expect(Atomics.wait(state, 0, 0, stallTimeoutMs)).toEqual('ok')
  await sleep(settleMs)
  expect((await group.send({ id: 'after' })).status).toEqual(200)
  await worker.terminate()
  return arrivals
}

// Guards against passing on requests that waited to be accepted until their callers had left.
test('requests whose callers left before they were accepted reach no endpoint', async () => {
  const reads = Array.from({ length: 30 }, (_value, index) => formatRequest(`read-${index}`))
  const orders = Array.from({ length: 30 }, (_value, index) => formatRequest(`order-${index}`, { method: 'POST', path: '/order/1', body: 'abc' }))
  expect(await leaveDuringStall([...reads, ...orders])).toEqual(['after'])
})

// Guards against passing on the pipelined requests of such callers.
test('pipelined requests whose caller left before they were accepted reach no endpoint', async () => {
  const texts = Array.from({ length: 20 }, (_value, index) => [1, 2, 3].map((place) => formatRequest(`r-${index}-${place}`)).join(''))
  expect(await leaveDuringStall(texts)).toEqual(['after'])
})
