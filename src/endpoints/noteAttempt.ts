import { AttemptResult } from '../steer/AttemptResult.js'
import { endpointLimits } from './endpointLimits.js'
import type { EndpointRow } from './EndpointRow.js'

/** An attempt that has ended. */
interface EndedAttempt {
  readonly result: AttemptResult
  readonly elapsedMs: number
  /** Requests that were probably at the endpoint when it began, this one included. */
  readonly loadAtStart: number
}

/** Takes in how an attempt at an endpoint ended and how long it took. */
export function noteAttempt (row: EndpointRow, { result, elapsedMs, loadAtStart }: EndedAttempt, nowMs: number): void {
  const { smoothing } = endpointLimits
  if (result === AttemptResult.cancelled) return
  if (result === AttemptResult.shed) {
    row.shedUntilMs = nowMs + endpointLimits.shedPauseMs
    return
  }
  if (result === AttemptResult.ok) {
    row.failures = 0
    row.breaks = 0
    row.succeededAtMs = nowMs
    row.failureShare *= 1 - smoothing
    // With more requests than slots a part of the time was spent waiting.
    const workMs = elapsedMs * Math.min(1, row.record.slots / loadAtStart)
    row.workMs = row.workMs === 0 ? workMs : row.workMs + smoothing * (workMs - row.workMs)
    return
  }
  row.failures += 1
  if (result !== AttemptResult.timeout) {
    row.breaks += 1
    row.brokeAtMs = nowMs
  }
  row.freshUntilMs = nowMs + endpointLimits.distrustMs
  row.failureShare += smoothing * (1 - row.failureShare)
  if (row.failureShare >= endpointLimits.ejectShare) row.ejectedUntilMs = nowMs + endpointLimits.ejectMs
  // A refused connection says that nothing runs there now; what returns may be cold.
  if (result === AttemptResult.refused || row.failures >= endpointLimits.suspectFailures) markSuspect(row, nowMs)
}

function markSuspect (row: EndpointRow, nowMs: number): void {
  if (row.isSuspect) return
  row.isSuspect = true
  row.nextProbeAtMs = nowMs + endpointLimits.probeIntervalMs
}
