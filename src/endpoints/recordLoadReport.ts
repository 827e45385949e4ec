import type { EndpointRow } from './EndpointRow.js'

/** Load that an endpoint reports with a response. */
interface LoadReport {
  readonly running: number
  readonly waiting: number
}

/**
 * Updates the number of requests at an endpoint that this host didn't send from the endpoint's load report. The request whose
 * response carried the report has ended and is not counted; this host's other requests are in flight and are subtracted.
 */
export function recordLoadReport (row: EndpointRow, report: LoadReport, nowMs: number): void {
  row.reportedOtherInFlight = Math.max(0, report.running + report.waiting - row.inFlight)
  row.reportedAtMs = nowMs
}
