import { endpointLimits } from './endpointLimits.js'
import type { EndpointRow } from './EndpointRow.js'

/** Sum of the broken attempts that other hosts report for an endpoint. */
interface BreakReports {
  /** Number of hosts whose last attempts at the endpoint broke. */
  readonly hosts: number
  /** Consecutive broken attempts, summed over these hosts. */
  readonly breaks: number
}

/**
 * Ejects an endpoint for which several other hosts report broken attempts; returns true when it does. With many hosts, each
 * one sends too few requests to an endpoint to detect a crash before the endpoint is back. A host whose own request
 * succeeded recently ignores the reports, since an endpoint may be failing for some hosts only.
 */
export function applyBreakReports (row: EndpointRow, { hosts, breaks }: BreakReports, nowMs: number): boolean {
  if (hosts < endpointLimits.minReportingHosts || breaks + row.breaks < endpointLimits.minReportedBreaks) return false
  if (nowMs < row.peerReportsIgnoredUntilMs || nowMs - row.lastSuccessAtMs < endpointLimits.ownSuccessValidMs) return false
  row.peerReportsIgnoredUntilMs = nowMs + endpointLimits.ejectionMs
  row.ejectedUntilMs = Math.max(row.ejectedUntilMs, nowMs + endpointLimits.ejectionMs)
  return true
}
