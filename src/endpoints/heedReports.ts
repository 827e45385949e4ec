import { endpointLimits } from './endpointLimits.js'
import type { EndpointRow } from './EndpointRow.js'

/** What other hosts report of an endpoint. */
interface BreakReports {
  /** Hosts whose last attempts there broke. */
  readonly hosts: number
  /** Their broken attempts in a row, of all of them together. */
  readonly breaks: number
}

/**
 * Ejects an endpoint that several other hosts found broken. With many hosts each one sends few requests to an endpoint, so
 * that none would notice by itself before the endpoint is back. A host that was just served there goes by its own view: an
 * endpoint may fail some callers only.
 */
export function heedReports (row: EndpointRow, { hosts, breaks }: BreakReports, nowMs: number): boolean {
  if (hosts < endpointLimits.minReportingHosts || breaks + row.breaks < endpointLimits.minReportedBreaks) return false
  if (nowMs < row.peerReportsIgnoredUntilMs || nowMs - row.lastSuccessAtMs < endpointLimits.ownSuccessValidMs) return false
  row.peerReportsIgnoredUntilMs = nowMs + endpointLimits.ejectionMs
  row.ejectedUntilMs = Math.max(row.ejectedUntilMs, nowMs + endpointLimits.ejectionMs)
  return true
}
