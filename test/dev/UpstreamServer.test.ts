import { after, before, test } from 'node:test'
import { expect } from 'earl'
import { callControl } from '../../dev/common/callControl.js'
import { sendRequest } from '../../dev/common/sendRequest.js'
import { responseBody } from '../../dev/upstream/responseBody.js'
import type { TruthReport } from '../../dev/upstream/TruthReport.js'
import { UpstreamServer } from '../../dev/upstream/UpstreamServer.js'

const address = '127.23.0.2'
const control = `${address}:8072`
const names = ['plain', 'small', 'leaving', 'broken', 'order'] as const
const endpoints = names.map((name, index) => ({ name, service: 'ledger', zone: 'z', address: `${address}:${9001 + index}`, slots: 1, maxConnections: 50 }))
const upstreams = new UpstreamServer({
  address,
  controlPort: 8072,
  seed: 1,
  zones: [{ name: 'z', region: 'r' }],
  services: [{
    name: 'ledger',
    path: 'ledger',
    routes: [
      { methods: ['GET'], prefix: '', workClass: 'interactive', idempotent: true, defaultDeadlineMs: 1_000, maxBodyBytes: 1_000 },
      { methods: [], prefix: '', workClass: 'order', idempotent: false, defaultDeadlineMs: 1_000, maxBodyBytes: 1_000 }
    ]
  }],
  endpoints,
  meanServiceMs: { interactive: 20, order: 20, bulk: 20 }
})

async function send (name: typeof names[number], requestId: string, options: { body?: string, key?: string, path?: string, deadlineMs?: number } = {}): ReturnType<typeof sendRequest> {
  const { body, key, path = '/ledger/1', deadlineMs } = options
  const spec = endpoints.find((endpoint) => endpoint.name === name)!
  return await sendRequest(`http://${spec.address}${path}`, {
    method: body === undefined ? 'GET' : 'POST',
    headers: {
      'shunt-customer': 'c',
      'shunt-request-id': requestId,
      ...(key === undefined ? {} : { 'idempotency-key': key }),
      ...(deadlineMs === undefined ? {} : { 'shunt-deadline-ms': deadlineMs })
    },
    ...(body === undefined ? {} : { body }),
    timeoutMs: 2_000
  })
}

before(async () => await upstreams.start())
after(async () => await upstreams.close())

// Guards against response bodies in which a mixed-up or altered response would go undetected.
test('a response identifies its request and can be verified', async () => {
  const response = await send('plain', 'r1', { path: '/ledger/1?bytes=100000' })
  const head = responseBody.read(response.body)
  expect([head?.requestId, head?.customer, head?.path, head?.fillBytes]).toEqual(['r1', 'c', '/ledger/1?bytes=100000', 100_000])
  expect(responseBody.read(response.body.subarray(0, -1))).toEqual(undefined)
  expect(response.headers['upstream-load']).toEqual('used=0;slots=1;state=ready')
})

// Guards against an endpoint that accepts requests without limit or marks shed requests as run.
test('requests beyond slots and queue are shed as not run', async () => {
  const responses = await Promise.all([1, 2, 3, 4].map(async (n) => await send('small', `s${n}`)))
  const shed = responses.filter(({ status }) => status === 503)
  expect(shed.map(({ headers }) => headers['upstream-not-run'])).toEqual(['1', '1'])
})

// Guards against new requests after a drain that go unrecorded.
test('a new request long after the announcement of a drain is counted as late', async () => {
  await callControl(control, 'fault', { select: { endpoint: 'leaving' }, faults: { state: 'draining' } })
  await callControl(control, 'markDrain', { select: { endpoint: 'leaving' }, atMs: Date.now() - 3_500 })
  const response = await send('leaving', 'd1')
  expect(response.headers['upstream-load']).toEqual('used=0;slots=1;state=draining')
  const truth = await callControl<TruthReport>(control, 'truth')
  expect(truth.endpoints.leaving?.lateNewWork).toEqual(1)
})

// Guards against injected faults that a caller could mistake for a complete response.
test('a truncated response ends early', async () => {
  await callControl(control, 'fault', { select: { endpoint: 'broken' }, faults: { answers: 'truncate', answerCount: 1 } })
  await expect(send('broken', 't1')).toBeRejected()
  expect((await send('broken', 't2')).status).toEqual(200)
})

// Guards against duplicate runs that are not recorded, and against repeated reads that are counted as duplicates.
test('runs are counted by key and request', async () => {
  await send('order', 'o1', { body: '{}', key: 'k1' })
  await send('order', 'o2', { body: '{}', key: 'k1' })
  await send('order', 'g1')
  await send('order', 'g1')
  const truth = await callControl<TruthReport>(control, 'truth')
  expect(truth.duplicateKeys).toEqual([{ id: 'c k1', runs: 2 }])
  expect(truth.duplicateRequests).toEqual([])
  expect(await callControl<unknown>(control, 'runs', { keys: ['c k1', 'c k2'], requestIds: ['o1'] })).toEqual({ keys: [2, 0], requestIds: [1] })
})

// Guards against a request that still occupies its slot after its deadline or after its caller has disconnected.
test('a deadline ends the request and releases its slot', async () => {
  await callControl(control, 'fault', { select: { endpoint: 'plain' }, faults: { lateMs: 5_000 } })
  expect((await send('plain', 'late', { deadlineMs: 50 })).status).toEqual(504)
  await callControl(control, 'fault', { select: { endpoint: 'plain' }, faults: { lateMs: 0 } })
  expect((await send('plain', 'next')).status).toEqual(200)
})
