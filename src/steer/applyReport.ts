import type { EndpointReport } from './EndpointReport.js'
import type { OwnedEndpointRow } from './OwnedEndpointRow.js'
import { steerLimits } from './steerLimits.js'

/** Conclusions from a report besides the load. */
interface ReportEffect {
  /** The report counts fewer used slots than this host has requests in flight. */
  readonly isUnderstated: boolean
  /** This is the first report with the state `draining`. */
  readonly hasBegunDraining: boolean
}

/** Applies a load report to the row of its endpoint. */
export function applyReport (row: OwnedEndpointRow, report: EndpointReport, isProbe: boolean, nowMs: number): ReportEffect {
  const wasDraining = row.isDrainReported
  const wasReady = row.report?.state === 'ready'
  row.report = report
  row.reportAtMs = nowMs
  row.isDrainReported = report.state === 'draining'
  if (isProbe) applyProbe(row, nowMs)
  if (report.state === 'cold' && row.rampStartMs === undefined) row.rampStartMs = nowMs
  if (report.state === 'ready' && wasReady && isRampComplete(row, nowMs)) row.rampStartMs = undefined
  updateUsedByOthers(row, report)
  // The answer to one finished request may still be on the way to this host.
  return { isUnderstated: report.used < row.inFlight - 1, hasBegunDraining: row.isDrainReported && !wasDraining }
}

function applyProbe (row: OwnedEndpointRow, nowMs: number): void {
  row.probedAtMs = nowMs
  row.failures = 0
  // An ejected endpoint has probably restarted with empty caches.
  if (row.isEjected) row.rampStartMs = nowMs
  row.isEjected = false
}

function isRampComplete (row: OwnedEndpointRow, nowMs: number): boolean {
  return row.rampStartMs !== undefined && nowMs - row.rampStartMs >= steerLimits.rampMs
}

function updateUsedByOthers (row: OwnedEndpointRow, report: EndpointReport): void {
  const usedByOthers = Math.max(0, report.used - row.inFlight)
  row.usedByOthers = Math.min(usedByOthers, row.lastUsedByOthers)
  row.lastUsedByOthers = usedByOthers
}
