import type { EndpointRow } from './EndpointRow.js'
import { steerLimits } from './steerLimits.js'

/** Slots of an endpoint that may be in use now: 0 when it is leaving, blocked or not owned. */
export function countUsableSlots (row: EndpointRow, nowMs: number): number {
  if (row.ownership === 'none' || row.drained || row.saidLeaving || row.blocked) return 0
  // Nothing may be sent to an endpoint that has never answered: it may be full or gone.
  if (row.report === undefined) return 0
  return Math.min(row.spec.slots, limitByReport(row), limitByRamp(row, nowMs), limitByShedding(row, nowMs))
}

function limitByReport (row: EndpointRow): number {
  const reported = row.report?.slots ?? 0
  return reported > 0 ? reported : row.spec.slots
}

function limitByRamp (row: EndpointRow, nowMs: number): number {
  if (row.rampStartMs === undefined) return Infinity
  const progress = (nowMs - row.rampStartMs) / steerLimits.rampMs
  return 1 + Math.floor(Math.max(0, progress) * (row.spec.slots - 1))
}

function limitByShedding (row: EndpointRow, nowMs: number): number {
  if (row.shedLimit === Infinity) return Infinity
  return row.shedLimit + Math.floor((nowMs - row.shedAtMs) / steerLimits.shedRecoveryMs)
}
