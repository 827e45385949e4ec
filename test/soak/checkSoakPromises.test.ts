import { test } from 'node:test'
import { expect } from 'earl'
import { checkSoakPromises } from '../../dev/soak/checkSoakPromises.js'
import { SoakLedger } from '../../dev/soak/SoakLedger.js'
import { soakLimits } from '../../dev/soak/soakLimits.js'
import type { SoakRequest } from '../../dev/soak/SoakRequest.js'
import type { SoakRun } from '../../dev/soak/SoakRun.js'

const start = 100_000
/** Time in ms from which nothing is disturbed any more, and of a request that counts as sent after the recovery. */
const calmFromMs = start + 100_000
const recoveredMs = calmFromMs + soakLimits.recoveryMs + 1

function createRequest (id: string, change: Partial<SoakRequest> = {}): SoakRequest {
  return {
    id,
    method: 'POST',
    path: '/order/1?n=1',
    body: 'x',
    isIdempotent: false,
    host: 'host-0',
    deadlineMs: 2_000,
    sentAtMs: start,
    endedAtMs: start + 50,
    status: 200,
    signedBy: 'e-1-1',
    answerId: id,
    answerBody: 'done e-1-1',
    hasLeft: false,
    ...change
  }
}

function createRun (id: string, change: Partial<SoakRun> = {}): SoakRun {
  return { id, endpoint: 'e-1-1', service: 'ledger', zone: 'north-a', method: 'POST', path: '/order/1?n=1', body: 'x', deadlineMs: 1_990, atMs: start + 10, ...change }
}

/** A ledger in which every promise is kept. */
function createLedger (): SoakLedger {
  const ledger = new SoakLedger()
  ledger.requests.push(createRequest('a'))
  ledger.runs.push(createRun('a'))
  ledger.calmFromMs = calmFromMs
  ledger.requests.push(createRequest('late', { sentAtMs: recoveredMs, endedAtMs: recoveredMs + 50 }))
  ledger.runs.push(createRun('late', { atMs: recoveredMs + 10 }))
  return ledger
}

function listBroken (plant: (ledger: SoakLedger) => void): string[] {
  const ledger = createLedger()
  plant(ledger)
  return [...new Set(checkSoakPromises(ledger).map((finding) => finding.promise))]
}

function add (ledger: SoakLedger, request: SoakRequest, ...runs: SoakRun[]): void {
  ledger.requests.push(request)
  ledger.runs.push(...runs)
}

// Guards against a soak that finds faults in a run without any.
test('a run that keeps all promises has no findings', () => {
  expect(listBroken(() => {})).toEqual([])
})

// Guards against a soak whose checks cannot fail: each planted fault is found as what it is.
test('each planted fault is found', () => {
  const farMs = start + 60_000
  const cases: Array<readonly [string, (ledger: SoakLedger) => void]> = [
    ['a non-idempotent request runs at most once', (ledger) => { ledger.runs.push(createRun('a', { endpoint: 'e-2-1', atMs: start + 20 })) }],
    ['an endpoint runs only what a caller sent, unchanged', (ledger) => { ledger.runs.push(createRun('nobody')) }],
    ['an endpoint runs only what a caller sent, unchanged', (ledger) => { add(ledger, createRequest('b'), createRun('b', { body: 'y' })) }],
    ['an endpoint is handed no more time than is left', (ledger) => { add(ledger, createRequest('b'), createRun('b', { deadlineMs: 2_501 })) }],
    ['a refusal is true', (ledger) => { add(ledger, createRequest('b', { status: 503, signedBy: undefined }), createRun('b')) }],
    ['a success is the whole answer of an endpoint', (ledger) => { add(ledger, createRequest('b', { answerBody: 'do' }), createRun('b')) }],
    ['a success is the whole answer of an endpoint', (ledger) => { add(ledger, createRequest('b', { answerId: 'a' }), createRun('b')) }],
    ['a success is of an endpoint that ran the request', (ledger) => { add(ledger, createRequest('b'), createRun('b', { endpoint: 'e-2-1' })) }],
    ['planned work cuts no request', (ledger) => { add(ledger, createRequest('b', { status: 0 }), createRun('b')) }],
    ['a leaving endpoint gets nothing new', (ledger) => {
      ledger.orders.push({ kind: 'drain', endpoint: 'e-1-1', atMs: farMs - soakLimits.drainMs - 100 })
      add(ledger, createRequest('b', { sentAtMs: farMs - 50, endedAtMs: farMs + 50 }), createRun('b', { atMs: farMs }))
    }],
    ['an evacuated zone gets nothing', (ledger) => {
      ledger.orders.push({ kind: 'evacuate', zone: 'north-a', atMs: farMs - soakLimits.evacuationMs - 100, untilMs: Infinity })
      add(ledger, createRequest('b', { sentAtMs: farMs - 50, endedAtMs: farMs + 50 }), createRun('b', { atMs: farMs }))
    }],
    ['a new route is served', (ledger) => {
      ledger.orders.push({ kind: 'route', prefix: '/new-1/', atMs: farMs, untilMs: Infinity })
      add(ledger, createRequest('b', { path: '/new-1/7', sentAtMs: farMs + soakLimits.configApplyMs + 1, endedAtMs: farMs + soakLimits.configApplyMs + 9, status: 404, signedBy: undefined }))
    }],
    ['a removed route is not served', (ledger) => {
      ledger.orders.push({ kind: 'route', prefix: '/order/', atMs: start - 90_000, untilMs: start - soakLimits.configApplyMs - 1 })
    }],
    ['further attempts stay within the budget', (ledger) => {
      for (let index = 0; index < 100; index++) {
        const change = { isIdempotent: true, method: 'GET', path: '/read/1', body: '' } as const
        const run = { method: 'GET', path: '/read/1', body: '' }
        add(ledger, createRequest(`r${index}`, change), createRun(`r${index}`, run), createRun(`r${index}`, { ...run, atMs: start + 20 }))
      }
    }],
    ['after the last fault requests are served', (ledger) => {
      add(ledger, createRequest('b', { sentAtMs: recoveredMs, status: 502, signedBy: undefined }))
    }],
    ['hosts run without faults of their own', (ledger) => { ledger.hostFaults.push('host-0 ended by itself') }]
  ]
  for (const [promise, plant] of cases) expect(listBroken(plant)).toEqual([promise])
})

// Guards against findings for hosts that could not have known, which would hide the true ones.
test('promises with a time hold for calm hosts only', () => {
  const farMs = start + 60_000
  const plantLateRun = (ledger: SoakLedger): void => {
    ledger.orders.push({ kind: 'drain', endpoint: 'e-1-1', atMs: farMs - soakLimits.drainMs - 100 })
    add(ledger, createRequest('b', { sentAtMs: farMs - 50, endedAtMs: farMs + 50 }), createRun('b', { atMs: farMs }))
  }
  for (const name of ['host-0', 'store']) {
    expect(listBroken((ledger) => {
      plantLateRun(ledger)
      ledger.calm.disturb(name, farMs - 3_000)(farMs - 2_900)
    })).toEqual([])
  }
  expect(listBroken((ledger) => {
    plantLateRun(ledger)
    ledger.calm.disturb('host-1', farMs - 3_000)(farMs - 2_900)
  })).toEqual(['a leaving endpoint gets nothing new'])
})
