import type { OwnedEndpointRow } from './OwnedEndpointRow.js'
import { steerLimits } from './steerLimits.js'

/** Returns the slots of an endpoint that may be in use now; 0 when it is draining, ejected or not owned. */
export function countUsableSlots (row: OwnedEndpointRow, nowMs: number): number {
  if (row.ownership === 'none' || row.isDrainRequested || row.isDrainReported || row.isEjected) return 0
  // An endpoint that has never reported may be full or gone.
  if (row.report === undefined) return 0
  return Math.min(row.spec.slots, limitByReport(row), limitByRamp(row, nowMs), limitByShedding(row, nowMs))
}

function limitByReport (row: OwnedEndpointRow): number {
  const reported = row.report?.slots ?? 0
  return reported > 0 ? reported : row.spec.slots
}

function limitByRamp (row: OwnedEndpointRow, nowMs: number): number {
  if (row.rampStartMs === undefined) return Infinity
  const progress = (nowMs - row.rampStartMs) / steerLimits.rampMs
  return 1 + Math.floor(Math.max(0, progress) * (row.spec.slots - 1))
}

function limitByShedding (row: OwnedEndpointRow, nowMs: number): number {
  if (row.shedLimit === Infinity) return Infinity
  return row.shedLimit + Math.floor((nowMs - row.shedAtMs) / steerLimits.shedRecoveryMs)
}
