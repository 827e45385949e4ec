import { test } from 'node:test'
import { expect } from 'earl'
import { endpointLimits } from '../../src/endpoints/endpointLimits.js'
import type { EndpointRow } from '../../src/endpoints/EndpointRow.js'
import { EndpointTable } from '../../src/endpoints/EndpointTable.js'
import { applyBreakReports } from '../../src/endpoints/applyBreakReports.js'
import { recordAttempt } from '../../src/endpoints/recordAttempt.js'
import { createEndpoint } from '../support/createEndpoint.js'

const nowMs = 10_000

function createRow (): EndpointRow {
  const table = new EndpointTable(() => 'north', () => 2_500)
  table.update([createEndpoint('a')], { nowMs: 0, mayHaveLapsed: false })
  return table.get('a')!
}

// Guards against a crashed endpoint that each of many hosts must detect by itself.
test('an endpoint that several hosts report as broken is ejected for a while', () => {
  const row = createRow()
  expect(applyBreakReports(row, { hosts: 2, breaks: 3 }, nowMs)).toEqual(true)
  expect(row.ejectedUntilMs).toEqual(nowMs + endpointLimits.ejectionMs)
  expect(applyBreakReports(row, { hosts: 2, breaks: 3 }, nowMs + 100)).toEqual(false)
})

// Guards against one host with a broken link that causes ejections at all other hosts.
test('the reports of a single host eject no endpoint', () => {
  const row = createRow()
  expect(applyBreakReports(row, { hosts: 1, breaks: 50 }, nowMs)).toEqual(false)
  expect(row.ejectedUntilMs).toEqual(0)
})

// Guards against an endpoint that fails for some hosts only and is ejected by those that it serves.
test('a recent success of this host takes precedence over reports', () => {
  const row = createRow()
  recordAttempt(row, { result: 'ok', elapsedMs: 10, loadAtStart: 1 }, nowMs - 100)
  expect(applyBreakReports(row, { hosts: 3, breaks: 9 }, nowMs)).toEqual(false)
  expect(applyBreakReports(row, { hosts: 3, breaks: 9 }, nowMs + endpointLimits.ownSuccessValidMs)).toEqual(true)
})

// Guards against an overload that is reported as broken endpoints, so that the remaining endpoints receive all requests.
test('attempts that timed out are not reported', () => {
  const row = createRow()
  for (let index = 0; index < 5; index++) recordAttempt(row, { result: 'timeout', elapsedMs: 10, loadAtStart: 1 }, nowMs)
  expect(row.breaks).toEqual(0)
  recordAttempt(row, { result: 'broken', elapsedMs: 10, loadAtStart: 1 }, nowMs)
  expect([row.breaks, row.lastBreakAtMs]).toEqual([1, nowMs])
})
