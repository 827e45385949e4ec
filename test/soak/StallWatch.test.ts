import { test } from 'node:test'
import { expect } from 'earl'
import { StallWatch } from '../../dev/common/StallWatch.js'
import { checkSoakPromises } from '../../dev/soak/checkSoakPromises.js'
import { SoakHistory } from '../../dev/soak/SoakHistory.js'
import { soakLimits } from '../../dev/soak/soakLimits.js'
import type { SoakRequest } from '../../dev/soak/SoakRequest.js'
import { sleep } from '../../src/common/sleep.js'

const settleMs = 100
const faultsEndedMs = 100_000
const stallMs = 2_400

function standStill (ms: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms)
}

function createTimedOut (id: string, sentAtMs: number): SoakRequest {
  return {
    id,
    method: 'GET',
    path: '/read/1',
    body: '',
    isIdempotent: true,
    host: 'host-0',
    deadlineMs: 1_200,
    sentAtMs,
    endedAtMs: sentAtMs + stallMs,
    status: 0,
    signedBy: undefined,
    responseId: undefined,
    responseBody: '',
    hasTimedOut: true
  }
}

function createServed (id: string, sentAtMs: number): SoakRequest {
  return { ...createTimedOut(id, sentAtMs), endedAtMs: sentAtMs + 50, status: 200, signedBy: 'e', responseId: id, responseBody: 'done e', hasTimedOut: false }
}

/** A history with requests that timed out behind a stall in the calm after the last fault, and served ones after its recovery. */
function createStalledHistory (stalls: number): SoakHistory {
  const history = new SoakHistory()
  history.faultsEndedMs = faultsEndedMs
  const atMs = faultsEndedMs + soakLimits.recoveryMs + 1_000
  for (let index = 0; index < 10; index++) history.requests.push(createTimedOut(`timed-out-${index}`, atMs))
  for (let index = 0; index < stalls; index++) history.recordStall(['host-0'], atMs, atMs + stallMs)
  const served = createServed('served', history.faultsEndedMs + soakLimits.recoveryMs + 1)
  history.requests.push(served)
  history.runs.push({ id: 'served', endpoint: 'e', service: 'stock', zone: 'north-a', region: 'north', method: 'GET', path: '/read/1', body: '', deadlineMs: 1_190, atMs: served.sentAtMs + 10 })
  return history
}

// Guards against findings about hosts when the process that plays the callers, links and endpoints had no processor time.
test('a stall of the process is noticed and work in short turns is not', async () => {
  const stalls: number[] = []
  const watch = new StallWatch(soakLimits.stallMs, (fromMs, untilMs) => stalls.push(untilMs - fromMs))
  watch.start()
  await sleep(settleMs)
  standStill(soakLimits.stallMs / 2)
  await sleep(settleMs)
  expect(stalls).toEqual([])
  standStill(2 * soakLimits.stallMs)
  await sleep(settleMs)
  watch.stop()
  expect(stalls.length).toEqual(1)
  expect(stalls[0]! >= 2 * soakLimits.stallMs).toEqual(true)
})

test('requests that time out during a stall after the last fault are judged after another recovery', () => {
  expect(checkSoakPromises(createStalledHistory(0)).map(({ promise }) => promise)).toEqual(['after the last fault requests are served'])
  expect(checkSoakPromises(createStalledHistory(1))).toEqual([])
})

// Guards against a run that never shows the recovery and passes.
test('a run with many stalls after the last fault has a finding', () => {
  expect(checkSoakPromises(createStalledHistory(soakLimits.maxLateStalls)).map(({ promise }) => promise)).toEqual(['after the last fault requests are served'])
})
