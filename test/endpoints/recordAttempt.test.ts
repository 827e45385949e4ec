import { expect } from 'earl'
import { test } from 'node:test'
import { EndpointTable } from '../../src/endpoints/EndpointTable.js'
import type { EndpointRow } from '../../src/endpoints/EndpointRow.js'
import { recordAttempt } from '../../src/endpoints/recordAttempt.js'
import { createEndpoint } from '../support/createEndpoint.js'

function createRow (): EndpointRow {
  const table = new EndpointTable(() => 'north', () => 2_500)
  table.update([createEndpoint('a')], { nowMs: 0, mayHaveLapsed: false })
  return table.get('a')!
}

// Guards against further requests to an address where no process is listening.
test('a refused connection makes an endpoint suspect at once', () => {
  const row = createRow()
  recordAttempt(row, { result: 'refused', elapsedMs: 1, loadAtStart: 1 }, 1_000)
  expect(row.isSuspect).toEqual(true)
})

// Guards against an endpoint that fails a share of its requests while its health check succeeds.
test('an endpoint that fails half of its requests is ejected for a while', () => {
  const row = createRow()
  for (let index = 0; index < 40; index++) recordAttempt(row, { result: index % 2 === 0 ? 'broken' : 'ok', elapsedMs: 10, loadAtStart: 1 }, 1_000)
  expect(row.ejectedUntilMs > 1_000).toEqual(true)
  expect(row.isSuspect).toEqual(false)
})

// Guards against cancellations by callers that count as failures of the endpoint.
test('cancelled attempts do not count as failures', () => {
  const row = createRow()
  for (let index = 0; index < 20; index++) recordAttempt(row, { result: 'cancelled', elapsedMs: 10, loadAtStart: 1 }, 1_000)
  expect(row.failures).toEqual(0)
  expect(row.isSuspect).toEqual(false)
})
