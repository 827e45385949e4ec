import { endpointLimits } from './endpointLimits.js'
import type { EndpointRow } from './EndpointRow.js'

/** Estimates the requests of all hosts in flight at an endpoint. */
export function estimateLoad (row: EndpointRow, nowMs: number): number {
  const isReportValid = nowMs - row.reportedAtMs <= endpointLimits.loadReportValidMs
  return row.inFlight + (isReportValid ? row.reportedOtherInFlight : row.peerInFlight)
}
