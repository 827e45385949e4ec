import { test } from 'node:test'
import { expect } from 'earl'
import { endpointLimits } from '../../src/endpoints/endpointLimits.js'
import type { EndpointRow } from '../../src/endpoints/EndpointRow.js'
import { EndpointTable } from '../../src/endpoints/EndpointTable.js'
import { heedReports } from '../../src/endpoints/heedReports.js'
import { noteAttempt } from '../../src/endpoints/noteAttempt.js'
import { createEndpoint } from '../support/createEndpoint.js'

const nowMs = 10_000

function createRow (): EndpointRow {
  const table = new EndpointTable(() => 'north')
  table.update([createEndpoint('a')], { nowMs: 0, mayHaveLapsed: false })
  return table.get('a')!
}

// Guards against a crashed endpoint that each of many hosts has to find out for itself.
test('an endpoint that several hosts found broken is ejected for a while', () => {
  const row = createRow()
  expect(heedReports(row, { hosts: 2, breaks: 3 }, nowMs)).toEqual(true)
  expect(row.ejectedUntilMs).toEqual(nowMs + endpointLimits.ejectionMs)
  expect(heedReports(row, { hosts: 2, breaks: 3 }, nowMs + 100)).toEqual(false)
})

// Guards against one host with a broken link that takes endpoints from all others.
test('one host alone ejects nothing', () => {
  const row = createRow()
  expect(heedReports(row, { hosts: 1, breaks: 50 }, nowMs)).toEqual(false)
  expect(row.ejectedUntilMs).toEqual(0)
})

// Guards against an endpoint that fails some callers only and is lost to those that it serves.
test('a success of its own goes before reports', () => {
  const row = createRow()
  noteAttempt(row, { result: 'ok', elapsedMs: 10, loadAtStart: 1 }, nowMs - 100)
  expect(heedReports(row, { hosts: 3, breaks: 9 }, nowMs)).toEqual(false)
  expect(heedReports(row, { hosts: 3, breaks: 9 }, nowMs + endpointLimits.ownSuccessValidMs)).toEqual(true)
})

// Guards against an overload that looks like broken endpoints, so that the rest gets all requests.
test('attempts that ran out of time are not reported', () => {
  const row = createRow()
  for (let index = 0; index < 5; index++) noteAttempt(row, { result: 'timeout', elapsedMs: 10, loadAtStart: 1 }, nowMs)
  expect(row.breaks).toEqual(0)
  noteAttempt(row, { result: 'broken', elapsedMs: 10, loadAtStart: 1 }, nowMs)
  expect([row.breaks, row.brokeAtMs]).toEqual([1, nowMs])
})
