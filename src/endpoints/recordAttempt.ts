import { AttemptResult } from '../steer/AttemptResult.js'
import { endpointLimits } from './endpointLimits.js'
import type { EndpointRow } from './EndpointRow.js'

/** An attempt that has ended. */
interface EndedAttempt {
  readonly result: AttemptResult
  readonly elapsedMs: number
  /** Estimated requests at the endpoint when the attempt began, including this one. */
  readonly loadAtStart: number
}

/** Updates the health and the service time of an endpoint from the result of an attempt. */
export function recordAttempt (row: EndpointRow, { result, elapsedMs, loadAtStart }: EndedAttempt, nowMs: number): void {
  const { smoothingFactor } = endpointLimits
  if (result === AttemptResult.cancelled) return
  if (result === AttemptResult.shed) {
    row.shedBackoffUntilMs = nowMs + endpointLimits.shedBackoffMs
    return
  }
  if (result === AttemptResult.ok) {
    row.failures = 0
    row.breaks = 0
    row.lastSuccessAtMs = nowMs
    row.failureShare *= 1 - smoothingFactor
    // With more requests than slots, the request spent a fraction of the time waiting for a slot.
    const serviceTimeMs = elapsedMs * Math.min(1, row.record.slots / loadAtStart)
    row.serviceTimeMs = row.serviceTimeMs === 0 ? serviceTimeMs : row.serviceTimeMs + smoothingFactor * (serviceTimeMs - row.serviceTimeMs)
    return
  }
  row.failures += 1
  if (result !== AttemptResult.timeout) {
    row.breaks += 1
    row.lastBreakAtMs = nowMs
  }
  row.dedicatedConnectionsUntilMs = nowMs + endpointLimits.dedicatedConnectionMs
  row.failureShare += smoothingFactor * (1 - row.failureShare)
  if (row.failureShare >= endpointLimits.ejectFailureShare) row.ejectedUntilMs = nowMs + endpointLimits.ejectionMs
  // A refused connection shows that no process is listening. The endpoint may be cold when it returns, which its health check reports.
  if (result === AttemptResult.refused || row.failures >= endpointLimits.suspectFailures) markSuspect(row, nowMs)
}

function markSuspect (row: EndpointRow, nowMs: number): void {
  if (row.isSuspect) return
  row.isSuspect = true
  row.nextProbeAtMs = nowMs + endpointLimits.probeIntervalMs
}
