import { match } from 'ts-pattern'
import { AttemptResult } from './AttemptResult.js'
import type { OwnedEndpointRow } from './OwnedEndpointRow.js'
import { steerLimits } from './steerLimits.js'

/** Applies the result of an attempt to the row of its endpoint and releases the slot. */
export function applyAttempt (row: OwnedEndpointRow, result: AttemptResult, elapsedMs: number, nowMs: number): void {
  const inFlightBefore = row.inFlight
  row.inFlight -= 1
  match(result)
    .with(AttemptResult.ok, () => applySuccess(row, inFlightBefore, elapsedMs))
    .with(AttemptResult.shed, () => applyShedding(row, nowMs))
    .with(AttemptResult.refused, AttemptResult.broken, AttemptResult.timeout, () => applyFailure(row, nowMs))
    .with(AttemptResult.cancelled, () => {})
    .exhaustive()
}

function applySuccess (row: OwnedEndpointRow, busyBefore: number, elapsedMs: number): void {
  row.failures = 0
  row.serviceMs = row.serviceMs === 0
    ? elapsedMs
    : row.serviceMs + steerLimits.serviceTimeWeight * (elapsedMs - row.serviceMs)
  // The endpoint served more requests than its reports allowed, so the reports overstate its load.
  if (busyBefore + row.usedByOthers > row.spec.slots) row.usedByOthers -= 1
}

function applyShedding (row: OwnedEndpointRow, nowMs: number): void {
  row.shedLimit = Math.max(1, row.inFlight)
  row.shedAtMs = nowMs
}

function applyFailure (row: OwnedEndpointRow, nowMs: number): void {
  row.failures += 1
  if (row.failures < steerLimits.maxFailures || row.isEjected) return
  row.isEjected = true
  row.nextProbeAtMs = Math.min(row.nextProbeAtMs, nowMs + steerLimits.fastProbeIntervalMs)
}
