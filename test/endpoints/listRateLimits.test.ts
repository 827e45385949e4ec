import { expect } from 'earl'
import { test } from 'node:test'
import { EndpointTable } from '../../src/endpoints/EndpointTable.js'
import type { EndpointRow } from '../../src/endpoints/EndpointRow.js'
import { listRateLimits } from '../../src/endpoints/listRateLimits.js'
import { recordRateLimit } from '../../src/endpoints/recordRateLimit.js'
import { createEndpoint } from '../support/createEndpoint.js'

function createRow (): EndpointRow {
  const table = new EndpointTable(() => 'north', () => 2_500)
  table.update([createEndpoint('e')], { nowMs: 0, mayHaveLapsed: false })
  return table.get('e')!
}

function hearOwn (row: EndpointRow, perSecond: number | undefined, heardAtMs: number): void {
  row.announced.ownRateLimit = { perSecond, heardAtMs }
  recordRateLimit(row, row.announced.ownRateLimit)
}

// Guards against a limit that has ended and comes back from the older news of another host.
test('older news of a limit is ignored', () => {
  const row = createRow()
  hearOwn(row, 5, 100)
  hearOwn(row, undefined, 300)
  recordRateLimit(row, { perSecond: 5, heardAtMs: 200 })
  expect(row.announced.rateLimit).toEqual({ perSecond: undefined, heardAtMs: 300 })
})

// Guards against news that becomes younger as it goes round, and against reports of endpoints that never named a limit.
test('a host reports only what it has heard itself', () => {
  const [silent, told, own] = [createRow(), createRow(), createRow()]
  recordRateLimit(silent, { perSecond: undefined, heardAtMs: 100 })
  recordRateLimit(told, { perSecond: 5, heardAtMs: 100 })
  hearOwn(own, 2.5, 100)
  expect(listRateLimits([silent, told, own], 400)).toEqual([['e', 2.5, 300]])
})

// Guards against a report of a limit that another host knows to have ended.
test('a limit that newer news contradicts is not reported', () => {
  const row = createRow()
  hearOwn(row, 5, 100)
  recordRateLimit(row, { perSecond: undefined, heardAtMs: 200 })
  expect(listRateLimits([row], 300)).toEqual([])
})

// Guards against hosts that never hear of the end of a limit, and against its report for good.
test('the end of a limit is reported for some time', () => {
  const row = createRow()
  hearOwn(row, 5, 100)
  hearOwn(row, undefined, 200)
  expect([listRateLimits([row], 10_200), listRateLimits([row], 10_201)]).toEqual([[['e', -1, 10_000]], []])
})
