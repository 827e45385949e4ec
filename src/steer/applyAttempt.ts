import { match } from 'ts-pattern'
import { AttemptResult } from './AttemptResult.js'
import type { EndpointRow } from './EndpointRow.js'
import { steerLimits } from './steerLimits.js'

/** Takes the end of an attempt at an endpoint into its row and gives the slot back. */
export function applyAttempt (row: EndpointRow, result: AttemptResult, elapsedMs: number, nowMs: number): void {
  const busyBefore = row.inFlight
  row.inFlight -= 1
  match(result)
    .with(AttemptResult.ok, () => applySuccess(row, busyBefore, elapsedMs))
    .with(AttemptResult.shed, () => applyShedding(row, nowMs))
    .with(AttemptResult.refused, AttemptResult.broken, AttemptResult.timeout, () => applyFailure(row, nowMs))
    .with(AttemptResult.cancelled, () => {})
    .exhaustive()
}

function applySuccess (row: EndpointRow, busyBefore: number, elapsedMs: number): void {
  row.failures = 0
  row.serviceMs = row.serviceMs === 0
    ? elapsedMs
    : row.serviceMs + steerLimits.serviceTimeWeight * (elapsedMs - row.serviceMs)
  // The endpoint served more than its reports leave room for, so the reports overstate its load.
  if (busyBefore + row.foreign > row.spec.slots) row.foreign -= 1
}

function applyShedding (row: EndpointRow, nowMs: number): void {
  row.shedLimit = Math.max(1, row.inFlight)
  row.shedAtMs = nowMs
}

function applyFailure (row: EndpointRow, nowMs: number): void {
  row.failures += 1
  if (row.failures < steerLimits.maxFailures || row.blocked) return
  row.blocked = true
  row.nextProbeAtMs = Math.min(row.nextProbeAtMs, nowMs + steerLimits.fastProbeIntervalMs)
}
