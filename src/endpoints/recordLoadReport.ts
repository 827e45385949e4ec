import type { EndpointRow } from './EndpointRow.js'

/** Load that an endpoint reports with a response. */
interface LoadReport {
  readonly running: number
  readonly waiting: number
}

/**
 * Updates the number of requests at an endpoint that this host didn't send from the endpoint's load report. The report counts
 * the request whose response carries it, so that request must still be in flight in the row.
 */
export function recordLoadReport (row: EndpointRow, report: LoadReport, nowMs: number): void {
  row.reportedOtherInFlight = Math.max(0, report.running + report.waiting - row.inFlight)
  row.reportedAtMs = nowMs
}
