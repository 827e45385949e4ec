import { after, before, test } from 'node:test'
import { expect } from 'earl'
import { callControl } from '../../dev/common/callControl.js'
import { sendRequest } from '../../dev/common/sendRequest.js'
import { answerBody } from '../../dev/upstream/answerBody.js'
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

// Guards against answers that a mixed-up or changed response could pass for.
test('an answer names its request and is checkable', async () => {
  const answer = await send('plain', 'r1', { path: '/ledger/1?bytes=100000' })
  const head = answerBody.read(answer.body)
  expect([head?.requestId, head?.customer, head?.path, head?.fillBytes]).toEqual(['r1', 'c', '/ledger/1?bytes=100000', 100_000])
  expect(answerBody.read(answer.body.subarray(0, -1))).toEqual(undefined)
  expect(answer.headers['upstream-load']).toEqual('used=0;slots=1;state=ready')
})

// Guards against an endpoint that takes work without limit or marks shed work as run.
test('work beyond slots and queue is shed as not run', async () => {
  const answers = await Promise.all([1, 2, 3, 4].map(async (n) => await send('small', `s${n}`)))
  const shed = answers.filter(({ status }) => status === 503)
  expect(shed.map(({ headers }) => headers['upstream-not-run'])).toEqual(['1', '1'])
})

// Guards against new work after a drain going unseen.
test('new work after the sign of a drain is timed', async () => {
  await callControl(control, 'fault', { select: { endpoint: 'leaving' }, faults: { state: 'draining' } })
  await callControl(control, 'markDrain', { select: { endpoint: 'leaving' }, atMs: Date.now() - 3_500 })
  const answer = await send('leaving', 'd1')
  expect(answer.headers['upstream-load']).toEqual('used=0;slots=1;state=draining')
  const truth = await callControl<TruthReport>(control, 'truth')
  expect(truth.endpoints.leaving?.lateNewWork).toEqual(1)
})

// Guards against injected faults that a caller could take for a complete answer.
test('a truncated answer ends early', async () => {
  await callControl(control, 'fault', { select: { endpoint: 'broken' }, faults: { answers: 'truncate', answerCount: 1 } })
  await expect(send('broken', 't1')).toBeRejected()
  expect((await send('broken', 't2')).status).toEqual(200)
})

// Guards against duplicate runs that the truth does not see, and against repeated reads counted as such.
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

// Guards against work that goes on after its deadline or after its caller has gone.
test('a deadline ends the work and frees the slot', async () => {
  await callControl(control, 'fault', { select: { endpoint: 'plain' }, faults: { lateMs: 5_000 } })
  expect((await send('plain', 'late', { deadlineMs: 50 })).status).toEqual(504)
  await callControl(control, 'fault', { select: { endpoint: 'plain' }, faults: { lateMs: 0 } })
  expect((await send('plain', 'next')).status).toEqual(200)
})
