import { after, before, test } from 'node:test'
import { expect } from 'earl'
import { callControl } from '../../dev/common/callControl.js'
import { sendRequest } from '../../dev/common/sendRequest.js'
import { StoreProcess } from '../../dev/store/StoreProcess.js'

const address = '127.23.0.1'
const control = `${address}:8071`
const registryLagMs = 100
const store = new StoreProcess({ address, port: 8070, controlPort: 8071, registryLagMs, upstreams: ['u1'] })

/** A row with its decoded value. */
interface TestRow {
  readonly key: string
  readonly ver: number
  readonly value: unknown
}

function decode ({ key, ver, value }: { readonly key: string, readonly ver: number, readonly value: string }): TestRow {
  return { key, ver, value: JSON.parse(Buffer.from(value, 'base64').toString()) }
}

async function transact (...writes: readonly TestRow[]): Promise<{ status: number, ver: number, rows: TestRow[] }> {
  const rowKey = (key: string): object => ({ table: 'sapphireshunt', part: '', key })
  const body = JSON.stringify({
    precondition: writes.map(({ key, ver }) => ({ ...rowKey(key), ver })),
    puts: writes.map(({ key, value }) => ({ ...rowKey(key), value: Buffer.from(JSON.stringify(value)).toString('base64') }))
  })
  const response = await sendRequest(`http://${address}:8070/v1/rows-tx`, { method: 'POST', body })
  const result = JSON.parse(response.body.toString()) as { ver: number, rows?: Array<Parameters<typeof decode>[0]> }
  return { status: response.status, ver: result.ver, rows: (result.rows ?? []).map(decode) }
}

async function list (table: string): Promise<TestRow[]> {
  const response = await sendRequest(`http://${address}:8070/v1/rows-get?table=${table}&part=`)
  return (JSON.parse(response.body.toString()) as { rows: Array<Parameters<typeof decode>[0]> }).rows.map(decode)
}

async function find (key: string): Promise<TestRow | undefined> {
  return (await list('sapphireshunt')).find((row) => row.key === key)
}

before(async () => await store.start())
after(async () => await store.close())

// Guards against a compare-and-set that accepts both of two concurrent writers.
test('a write with an old version is refused with the current row', async () => {
  const { status, ver } = await transact({ key: 'config/head', ver: 0, value: 'a' })
  expect(status).toEqual(200)
  const refused = await transact({ key: 'config/head', ver: 0, value: 'b' })
  expect([refused.status, refused.rows]).toEqual([412, [{ key: 'config/head', ver, value: 'a' }]])
  expect(await find('config/head')).toEqual({ key: 'config/head', ver, value: 'a' })
})

// Guards against a transaction that applies only some of its writes.
test('a transaction applies all writes or none', async () => {
  const { ver } = await transact({ key: 't1', ver: 0, value: 1 })
  expect((await transact({ key: 't1', ver, value: 2 }, { key: 't2', ver: 5, value: 2 })).status).toEqual(412)
  expect([await find('t1'), await find('t2')]).toEqual([{ key: 't1', ver, value: 1 }, undefined])
})

// Guards against a lost response whose write did not take effect, which would hide faults of the system.
test('a write whose response is lost takes effect', async () => {
  await callControl(control, 'fault', { loseAnswers: 1 })
  await expect(transact({ key: 'lost', ver: 0, value: 'x' })).toBeRejected()
  expect((await find('lost'))?.value).toEqual('x')
  expect((await transact({ key: 'next', ver: 0, value: 'y' })).status).toEqual(200)
})

// Guards against a rollback that keeps newer rows.
test('a rollback restores the older row', async () => {
  const { ver } = await transact({ key: 'old', ver: 0, value: 'first' })
  await transact({ key: 'old', ver, value: 'second' })
  await callControl(control, 'rollback', { count: 1 })
  expect(await find('old')).toEqual({ key: 'old', ver, value: 'first' })
})

// Guards against a registry that lacks the platform's lag.
test('the registry shows a draining upstream after the lag', async () => {
  const states = async (): Promise<string[]> => (await list('servers')).map(({ value }) => (value as { status: { state: string } }).status.state)
  await callControl(control, 'upstream', { name: 'u1', state: 'draining' })
  expect(await states()).toEqual(['ready'])
  await new Promise((resolve) => setTimeout(resolve, registryLagMs + 20))
  expect(await states()).toEqual(['draining'])
})

// Guards against an outage in which the store still responds, and against one that never ends.
test('the store keeps its state across an outage', async () => {
  await transact({ key: 'kept', ver: 0, value: 1 })
  await callControl(control, 'fault', { mode: 'refuse' })
  await expect(find('kept')).toBeRejected()
  await callControl(control, 'fault', { mode: 'up' })
  expect((await find('kept'))?.value).toEqual(1)
})

// Guards against a second write that replaces an object.
test('an object is written once', async () => {
  const put = async (body: string): Promise<number> => (await sendRequest(`http://${address}:8070/v1/blob-put/a%2Fb`, { method: 'PUT', body })).status
  expect([await put('one'), await put('two')]).toEqual([200, 412])
  expect((await sendRequest(`http://${address}:8070/v1/blob-get/a%2Fb`)).body.toString()).toEqual('one')
})
