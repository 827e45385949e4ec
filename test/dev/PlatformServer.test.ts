import { after, before, test } from 'node:test'
import { expect } from 'earl'
import { callControl } from '../../dev/common/callControl.js'
import { sendRequest } from '../../dev/common/sendRequest.js'
import { PlatformServer } from '../../dev/platform/PlatformServer.js'

const address = '127.23.0.1'
const control = `${address}:8071`
const platform = new PlatformServer({ address, port: 8070, controlPort: 8071, hostLagMs: 100, hosts: [{ name: 'h1', kind: 'entry' }] })

async function put (row: string, ifVersion: number, value: unknown): Promise<{ status: number, body: unknown }> {
  const answer = await sendRequest(`http://${address}:8070/table/${row}`, { method: 'PUT', body: JSON.stringify({ ifVersion, value }) })
  return { status: answer.status, body: JSON.parse(answer.body.toString()) }
}

async function get (path: string): Promise<{ status: number, body: unknown }> {
  const answer = await sendRequest(`http://${address}:8070${path}`)
  return { status: answer.status, body: JSON.parse(answer.body.toString()) }
}

before(async () => await platform.start())
after(async () => await platform.close())

// Guards against a compare-and-set that lets the second of two writers through.
test('a write with an old version is refused with the current row', async () => {
  expect(await put('config/head', 0, 'a')).toEqual({ status: 200, body: { version: 1 } })
  expect(await put('config/head', 0, 'b')).toEqual({ status: 409, body: { version: 1, value: 'a' } })
  expect(await get('/table/config/head')).toEqual({ status: 200, body: { version: 1, value: 'a' } })
})

// Guards against a transaction that applies some of its writes.
test('a transaction applies all writes or none', async () => {
  await put('t1', 0, 1)
  const body = JSON.stringify({ writes: [{ row: 't1', ifVersion: 1, value: 2 }, { row: 't2', ifVersion: 5, value: 2 }] })
  const answer = await sendRequest(`http://${address}:8070/table/transact`, { method: 'POST', body })
  expect(answer.status).toEqual(409)
  expect(await get('/table/t1')).toEqual({ status: 200, body: { version: 1, value: 1 } })
})

// Guards against a lost answer whose write did not take effect, which would hide faults of the system.
test('a lost answer leaves the write in effect', async () => {
  await callControl(control, 'fault', { loseAnswers: 1 })
  await expect(put('lost', 0, 'x')).toBeRejected()
  expect(await get('/table/lost')).toEqual({ status: 200, body: { version: 1, value: 'x' } })
})

// Guards against a roll back that keeps newer rows.
test('a roll back restores the older row', async () => {
  await put('old', 0, 'first')
  await put('old', 1, 'second')
  await callControl(control, 'rollback', { count: 1 })
  expect(await get('/table/old')).toEqual({ status: 200, body: { version: 1, value: 'first' } })
})

// Guards against a host list without the lag that the platform has.
test('the host list shows a leaving host after the lag', async () => {
  await callControl(control, 'host', { name: 'h1', state: 'leaving' })
  expect(await get('/hosts')).toEqual({ status: 200, body: { hosts: [{ name: 'h1', kind: 'entry', state: 'live' }] } })
  await new Promise((resolve) => setTimeout(resolve, 120))
  expect(await get('/hosts')).toEqual({ status: 200, body: { hosts: [{ name: 'h1', kind: 'entry', state: 'leaving' }] } })
})

// Guards against an outage that still answers, and against one that never ends.
test('a refused platform comes back with its state', async () => {
  await put('kept', 0, 1)
  await callControl(control, 'fault', { mode: 'refuse' })
  await expect(get('/table/kept')).toBeRejected()
  await callControl(control, 'fault', { mode: 'up' })
  expect(await get('/table/kept')).toEqual({ status: 200, body: { version: 1, value: 1 } })
})
