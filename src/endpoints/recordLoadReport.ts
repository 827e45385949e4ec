import type { EndpointRow } from './EndpointRow.js'
import type { LoadReport } from './LoadReport.js'

/**
 * Updates the number of requests at an endpoint that this host didn't send from the endpoint's load report. The report counts
 * the request whose response carries it, so that request must still be in flight in the row.
 */
export function recordLoadReport (row: EndpointRow, report: LoadReport, nowMs: number): void {
  row.reportedOtherInFlight = Math.max(0, report.running + report.waiting - row.inFlight)
  row.reportedAtMs = nowMs
}
