import { expect } from 'earl'
import { test } from 'node:test'
import { EndpointTable } from '../../src/endpoints/EndpointTable.js'
import type { EndpointRow } from '../../src/endpoints/EndpointRow.js'
import { noteAttempt } from '../../src/endpoints/noteAttempt.js'
import { createEndpoint } from '../support/createEndpoint.js'

function createRow (): EndpointRow {
  const table = new EndpointTable(() => 'north')
  table.update([createEndpoint('a')], { nowMs: 0, mayHaveLapsed: false })
  return table.get('a')!
}

// Guards against requests that go on being sent to an address where nothing listens.
test('a refused connection makes an endpoint suspect at once', () => {
  const row = createRow()
  noteAttempt(row, { result: 'refused', elapsedMs: 1, loadAtStart: 1 }, 1_000)
  expect(row.isSuspect).toEqual(true)
})

// Guards against an endpoint that fails a part of its requests while its health check is good.
test('an endpoint that fails in part is ejected for a while', () => {
  const row = createRow()
  for (let index = 0; index < 40; index++) noteAttempt(row, { result: index % 2 === 0 ? 'broken' : 'ok', elapsedMs: 10, loadAtStart: 1 }, 1_000)
  expect(row.ejectedUntilMs > 1_000).toEqual(true)
  expect(row.isSuspect).toEqual(false)
})

// Guards against an endpoint that is blamed for callers who leave.
test('a caller that leaves says nothing about the endpoint', () => {
  const row = createRow()
  for (let index = 0; index < 20; index++) noteAttempt(row, { result: 'cancelled', elapsedMs: 10, loadAtStart: 1 }, 1_000)
  expect(row.failures).toEqual(0)
  expect(row.isSuspect).toEqual(false)
})
