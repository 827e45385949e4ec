import type { EndpointRow } from './EndpointRow.js'

/** Load as an endpoint reports it with an answer. */
interface LoadReport {
  readonly running: number
  readonly waiting: number
}

/** Takes in the load that an endpoint reported; the reported request itself has ended, the others of this host have not. */
export function noteReport (row: EndpointRow, report: LoadReport, nowMs: number): void {
  row.reportedOtherInFlight = Math.max(0, report.running + report.waiting - row.inFlight)
  row.reportedAtMs = nowMs
}
