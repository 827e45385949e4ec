import { AttemptResult } from '../steer/AttemptResult.js'
import { endpointLimits } from './endpointLimits.js'
import type { EndpointRow } from './EndpointRow.js'

/** Takes in how an attempt at an endpoint ended and how long it took. */
export function noteAttempt (row: EndpointRow, result: AttemptResult, elapsedMs: number, nowMs: number): void {
  const { smoothing } = endpointLimits
  if (result === AttemptResult.cancelled) return
  if (result === AttemptResult.shed) {
    row.shedUntilMs = nowMs + endpointLimits.shedPauseMs
    return
  }
  if (result === AttemptResult.ok) {
    row.failures = 0
    row.failureShare *= 1 - smoothing
    row.serviceMs = row.serviceMs === 0 ? elapsedMs : row.serviceMs + smoothing * (elapsedMs - row.serviceMs)
    return
  }
  row.failures += 1
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
