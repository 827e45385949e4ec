import { test } from 'node:test'
import { expect } from 'earl'
import { ManualClock } from '../../src/common/ManualClock.js'
import { endpointLimits } from '../../src/endpoints/endpointLimits.js'
import type { EndpointRow } from '../../src/endpoints/EndpointRow.js'
import { EndpointTable } from '../../src/endpoints/EndpointTable.js'
import { NoticeRecorder } from '../../src/host/NoticeRecorder.js'
import { createEndpoint } from '../support/createEndpoint.js'
import { createRejectedInput } from '../support/createRejectedInput.js'
import { MemoryLogger } from '../support/MemoryLogger.js'

/** Records a response that asks for a back-off at time 0; returns the endpoint's row. */
function recordBackoff (backoffMs: number): EndpointRow {
  const logger = new MemoryLogger()
  const clock = new ManualClock()
  const endpoints = new EndpointTable(() => 'north', () => 2_500)
  endpoints.update([createEndpoint('e-0')], { nowMs: clock.nowMs(), mayHaveLapsed: false })
  const row = endpoints.get('e-0')!
  new NoticeRecorder({ endpoints, clock, logger, rejected: createRejectedInput(logger) }).record(row, {
    load: undefined, rateLimit: { kind: 'none' }, leaving: { kind: 'none' }, backoffMs: { kind: 'value', value: backoffMs }
  })
  row.announced.backoffUntilMs -= clock.nowMs()
  return row
}

// Guards against an endpoint that one response shuts out for a year.
test('a back-off beyond the bound ends there and needs a health check', () => {
  const { maxBackoffMs } = endpointLimits
  const results = [20_000, maxBackoffMs, 31_536_000_000].map((backoffMs) => recordBackoff(backoffMs))
  expect(results.map(({ announced, isSuspect }) => [announced.backoffUntilMs, isSuspect])).toEqual([[20_000, false], [maxBackoffMs, false], [maxBackoffMs, true]])
})

// Guards against an endpoint that one wrong byte shuts out for good, and against one that a false health check lets return at once.
test('an endpoint that stays is used again when a health check denies its leaving after the hold time', () => {
  const logger = new MemoryLogger()
  const clock = new ManualClock()
  const endpoints = new EndpointTable(() => 'north', () => 2_500)
  endpoints.update([createEndpoint('e-0')], { nowMs: clock.nowMs(), mayHaveLapsed: false })
  const row = endpoints.get('e-0')!
  const notices = new NoticeRecorder({ endpoints, clock, logger, rejected: createRejectedInput(logger) })
  notices.recordLeaving(row, { kind: 'value', value: true })
  const listed: number[] = []
  for (const ms of [5_000, endpointLimits.leavingHoldMs - 5_001, 1]) {
    clock.advance(ms)
    notices.endLeaving(row)
    listed.push(endpoints.listService('stock').length)
  }
  expect([listed, row.nextProbeAtMs]).toEqual([[0, 0, 1], endpointLimits.leavingHoldMs])
})
