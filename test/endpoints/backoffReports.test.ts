import { expect } from 'earl'
import { test } from 'node:test'
import { applyBackoffReport } from '../../src/endpoints/applyBackoffReport.js'
import { endpointLimits } from '../../src/endpoints/endpointLimits.js'
import { EndpointTable } from '../../src/endpoints/EndpointTable.js'
import type { EndpointRow } from '../../src/endpoints/EndpointRow.js'
import { listBackoffs } from '../../src/endpoints/listBackoffs.js'
import { createEndpoint } from '../support/createEndpoint.js'

const heartbeatIntervalMs = 250

function createRow (bornAtMs = 1): EndpointRow {
  const table = new EndpointTable(() => 'north', () => 2_500)
  table.update([createEndpoint('e', { bornAtMs })], { nowMs: 0, mayHaveLapsed: false })
  return table.get('e')!
}

// Guards against back-offs that hosts pass to and fro and that never end.
test('a host reports only back-offs that it was asked for itself', () => {
  const [own, other] = [createRow(), createRow()]
  own.announced.ownBackoffUntilMs = 5_000
  applyBackoffReport(other, { bornAtMs: 1, leftMs: 4_000, receivedAtMs: 1_000, heartbeatIntervalMs })
  expect(listBackoffs([own], 1_000)).toEqual([['e', 1, 4_000]])
  expect(listBackoffs([other], 1_000)).toEqual([])
  expect(listBackoffs([own], 5_000)).toEqual([])
})

// Guards against all hosts that return to an endpoint at the same moment.
test('a host that was told waits for as long as the endpoint asked and one heartbeat more', () => {
  const row = createRow()
  applyBackoffReport(row, { bornAtMs: 1, leftMs: 4_000, receivedAtMs: 1_000, heartbeatIntervalMs })
  applyBackoffReport(row, { bornAtMs: 1, leftMs: 10, receivedAtMs: 1_100, heartbeatIntervalMs })
  expect(row.announced.backoffUntilMs).toEqual(5_250)
})

// Guards against a host that shuts an endpoint out for good, and against a report that meets the next incarnation under the id.
test('a report is bounded and concerns one incarnation', () => {
  const [row, next] = [createRow(), createRow(2)]
  for (const target of [row, next]) applyBackoffReport(target, { bornAtMs: 1, leftMs: 1e300, receivedAtMs: 0, heartbeatIntervalMs })
  expect([row.announced.backoffUntilMs, next.announced.backoffUntilMs]).toEqual([endpointLimits.maxBackoffMs + heartbeatIntervalMs, -Infinity])
})
