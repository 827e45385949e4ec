import { test } from 'node:test'
import { expect } from 'earl'
import { checkSoakPromises } from '../../dev/soak/checkSoakPromises.js'
import { SoakHistory } from '../../dev/soak/SoakHistory.js'
import { soakLimits } from '../../dev/soak/soakLimits.js'
import type { SoakRequest } from '../../dev/soak/SoakRequest.js'
import type { SoakRun } from '../../dev/soak/SoakRun.js'

const start = 100_000
/** Times in ms of the last reverted fault, and of a request that counts as sent after the recovery. */
const faultsEndedMs = start + 100_000
const recoveredMs = faultsEndedMs + soakLimits.recoveryMs + 1

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
    responseId: id,
    responseBody: 'done e-1-1',
    hasTimedOut: false,
    ...change
  }
}

function createRun (id: string, change: Partial<SoakRun> = {}): SoakRun {
  return { id, endpoint: 'e-1-1', service: 'ledger', zone: 'north-a', region: 'north', method: 'POST', path: '/order/1?n=1', body: 'x', deadlineMs: 1_990, atMs: start + 10, ...change }
}

/** Creates a history in which every promise is kept. */
function createHistory (): SoakHistory {
  const history = new SoakHistory()
  history.requests.push(createRequest('a'))
  history.runs.push(createRun('a'))
  history.faultsEndedMs = faultsEndedMs
  history.requests.push(createRequest('late', { sentAtMs: recoveredMs, endedAtMs: recoveredMs + 50 }))
  history.runs.push(createRun('late', { atMs: recoveredMs + 10 }))
  return history
}

function listBroken (plant: (history: SoakHistory) => void): string[] {
  const history = createHistory()
  plant(history)
  return [...new Set(checkSoakPromises(history).map((finding) => finding.promise))]
}

function add (history: SoakHistory, request: SoakRequest, ...runs: SoakRun[]): void {
  history.requests.push(request)
  history.runs.push(...runs)
  history.arrivals.push(...runs)
}

// Guards against findings for a run without broken promises.
test('a run that keeps all promises has no findings', () => {
  expect(listBroken(() => {})).toEqual([])
})

// Guards against checks that cannot fail: each planted violation must be reported as the promise that it breaks.
test('each planted violation is found', () => {
  const farMs = start + 60_000
  const cases: Array<readonly [string, (history: SoakHistory) => void]> = [
    ['a non-idempotent request runs at most once', (history) => { history.runs.push(createRun('a', { endpoint: 'e-2-1', atMs: start + 20 })) }],
    ['an endpoint runs only what a caller sent, unchanged', (history) => { history.runs.push(createRun('nobody')) }],
    ['an endpoint runs only what a caller sent, unchanged', (history) => { add(history, createRequest('b'), createRun('b', { body: 'y' })) }],
    ['an endpoint is handed no more time than is left', (history) => { add(history, createRequest('b'), createRun('b', { deadlineMs: 2_501 })) }],
    ['a refusal is true', (history) => { add(history, createRequest('b', { status: 503, signedBy: undefined }), createRun('b')) }],
    ['a success is the whole answer of an endpoint', (history) => { add(history, createRequest('b', { responseBody: 'do' }), createRun('b')) }],
    ['a success is the whole answer of an endpoint', (history) => { add(history, createRequest('b', { responseId: 'a' }), createRun('b')) }],
    ['a success is of an endpoint that ran the request', (history) => { add(history, createRequest('b'), createRun('b', { endpoint: 'e-2-1' })) }],
    ['planned work cuts no request', (history) => { add(history, createRequest('b', { status: 0 }), createRun('b')) }],
    ['a leaving endpoint gets nothing new', (history) => {
      history.changes.push({ kind: 'drain', endpoint: 'e-1-1', atMs: farMs - soakLimits.drainMs - 100 })
      add(history, createRequest('b', { sentAtMs: farMs - 50, endedAtMs: farMs + 50 }), createRun('b', { atMs: farMs }))
    }],
    ['an evacuated zone gets nothing', (history) => {
      history.changes.push({ kind: 'evacuate', zone: 'north-a', atMs: farMs - soakLimits.evacuationMs - 100, untilMs: Infinity })
      add(history, createRequest('b', { sentAtMs: farMs - 50, endedAtMs: farMs + 50 }), createRun('b', { atMs: farMs }))
    }],
    ['a new route is served', (history) => {
      history.changes.push({ kind: 'route', prefix: '/new-1/', atMs: farMs, untilMs: Infinity })
      add(history, createRequest('b', { path: '/new-1/7', sentAtMs: farMs + soakLimits.configApplyMs + 1, endedAtMs: farMs + soakLimits.configApplyMs + 9, status: 404, signedBy: undefined }))
    }],
    ['a removed route is not served', (history) => {
      history.changes.push({ kind: 'route', prefix: '/order/', atMs: start - 90_000, untilMs: start - soakLimits.configApplyMs - 1 })
    }],
    ['a moved route is served by its new service', (history) => {
      history.changes.push({ kind: 'move', prefix: '/order/', service: 'stock', region: 'north', atMs: start - soakLimits.configApplyMs - 1, untilMs: Infinity })
      history.requests.pop()
      history.runs.pop()
      add(history, createRequest('late', { path: '/read/1', sentAtMs: recoveredMs, endedAtMs: recoveredMs + 50 }), createRun('late', { path: '/read/1', atMs: recoveredMs + 10 }))
    }],
    ['a route runs in its allowed regions', (history) => {
      history.changes.push({ kind: 'move', prefix: '/order/', service: 'ledger', region: 'south', atMs: start - soakLimits.configApplyMs - 1, untilMs: recoveredMs })
    }],
    ['further attempts stay within the budget', (history) => {
      for (let index = 0; index < 100; index++) {
        const change = { isIdempotent: true, method: 'GET', path: '/read/1', body: '' } as const
        const run = { method: 'GET', path: '/read/1', body: '' }
        add(history, createRequest(`r${index}`, change), createRun(`r${index}`, run), createRun(`r${index}`, { ...run, atMs: start + 20 }))
      }
    }],
    ['further attempts stay within the budget', (history) => {
      for (let index = 0; index < 100; index++) history.arrivals.push({ id: 'shed', service: 'ledger', atMs: start + index })
    }],
    ['after the last fault requests are served', (history) => {
      add(history, createRequest('b', { sentAtMs: recoveredMs, status: 502, signedBy: undefined }))
    }],
    ['hosts run without faults of their own', (history) => { history.hostErrors.push('host-0 ended by itself') }]
  ]
  for (const [promise, plant] of cases) expect(listBroken(plant)).toEqual([promise])
})

// Guards against findings for hosts that a fault kept from receiving a change; they would hide the valid findings.
test('promises with a time bound apply only to undisturbed hosts', () => {
  const farMs = start + 60_000
  const addLateRun = (history: SoakHistory): void => {
    // An endpoint of its own, since the other requests of the history run after its leaving too.
    history.changes.push({ kind: 'drain', endpoint: 'e-9-1', atMs: farMs - soakLimits.drainMs - 100 })
    const request = createRequest('b', { sentAtMs: farMs - 50, endedAtMs: farMs + 50, signedBy: 'e-9-1', responseBody: 'done e-9-1' })
    add(history, request, createRun('b', { endpoint: 'e-9-1', atMs: farMs }))
  }
  for (const name of ['host-0', 'store']) {
    expect(listBroken((history) => {
      addLateRun(history)
      history.disturbances.begin(name, farMs - 3_000)(farMs - 2_900)
    })).toEqual([])
  }
  // A change during a disturbance must be in force as well once the host has been calm for long enough.
  expect(listBroken((history) => {
    addLateRun(history)
    history.disturbances.begin('host-0', farMs - 4_500)(farMs - 4_400)
  })).toEqual(['a leaving endpoint gets nothing new'])
  expect(listBroken((history) => {
    addLateRun(history)
    history.disturbances.begin('host-1', farMs - 3_000)(farMs - 2_900)
  })).toEqual(['a leaving endpoint gets nothing new'])
})
