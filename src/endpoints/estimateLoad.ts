import { endpointLimits } from './endpointLimits.js'
import type { EndpointRow } from './EndpointRow.js'

/** Requests of all hosts that are probably at an endpoint now. */
export function estimateLoad (row: EndpointRow, nowMs: number): number {
  const isReportValid = nowMs - row.reportedAtMs <= endpointLimits.loadReportValidMs
  return row.inFlight + (isReportValid ? row.reportedOtherInFlight : row.peerInFlight)
}
