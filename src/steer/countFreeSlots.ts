import { countUsableSlots } from './countUsableSlots.js'
import type { OwnedEndpointRow } from './OwnedEndpointRow.js'
import { steerLimits } from './steerLimits.js'

/** Returns the slots of an endpoint that this host may take now. */
export function countFreeSlots (row: OwnedEndpointRow, nowMs: number): number {
  const usable = countUsableSlots(row, nowMs)
  if (usable === 0) return 0
  return row.ownership === 'adopter' ? countForAdopter(row, usable, nowMs) : countForPrimary(row, usable, nowMs)
}

/** Requires a recent probe, because the primary may be alive behind a network partition and still use the endpoint. */
function countForAdopter (row: OwnedEndpointRow, usable: number, nowMs: number): number {
  if (nowMs - row.probedAtMs > steerLimits.adopterProbeMaxAgeMs) return 0
  return Math.max(0, usable - row.inFlight - row.usedByOthers)
}

/** Allows the primary at least one request in flight; otherwise reports stuck at "full" would exclude the endpoint for ever. */
function countForPrimary (row: OwnedEndpointRow, usable: number, nowMs: number): number {
  const usedByOthers = nowMs - row.reportAtMs > steerLimits.reportMaxAgeMs ? 0 : row.usedByOthers
  const minimum = row.inFlight === 0 ? 1 : 0
  return Math.max(minimum, usable - row.inFlight - usedByOthers)
}
