import type { EndpointReport } from './EndpointReport.js'
import type { EndpointRow } from './EndpointRow.js'
import { steerLimits } from './steerLimits.js'

/** What a report showed besides the load. */
interface ReportEffect {
  /** The report claims less load than this host itself has in flight. */
  readonly understated: boolean
  /** The endpoint began to leave with this report. */
  readonly beganLeaving: boolean
}

/** Takes a load report into the row. */
export function applyReport (row: EndpointRow, report: EndpointReport, probed: boolean, nowMs: number): ReportEffect {
  const wasLeaving = row.saidLeaving
  const wasReady = row.report?.state === 'ready'
  row.report = report
  row.reportAtMs = nowMs
  row.saidLeaving = report.state === 'draining'
  if (probed) applyProbe(row, nowMs)
  if (report.state === 'cold' && row.rampStartMs === undefined) row.rampStartMs = nowMs
  if (report.state === 'ready' && wasReady && isRampDone(row, nowMs)) row.rampStartMs = undefined
  updateForeign(row, report)
  // One request may have left the endpoint while its answer was on the way.
  return { understated: report.used < row.inFlight - 1, beganLeaving: row.saidLeaving && !wasLeaving }
}

function applyProbe (row: EndpointRow, nowMs: number): void {
  row.probedAtMs = nowMs
  row.failures = 0
  // An endpoint that was out of service has probably restarted with empty caches.
  if (row.blocked) row.rampStartMs = nowMs
  row.blocked = false
}

function isRampDone (row: EndpointRow, nowMs: number): boolean {
  return row.rampStartMs !== undefined && nowMs - row.rampStartMs >= steerLimits.rampMs
}

function updateForeign (row: EndpointRow, report: EndpointReport): void {
  const foreign = Math.max(0, report.used - row.inFlight)
  row.foreign = Math.min(foreign, row.lastForeign)
  row.lastForeign = foreign
}
