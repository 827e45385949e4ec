import { countUsableSlots } from './countUsableSlots.js'
import type { EndpointRow } from './EndpointRow.js'
import { steerLimits } from './steerLimits.js'

/** Slots of an endpoint that this host may take now. */
export function countFreeSlots (row: EndpointRow, nowMs: number): number {
  const usable = countUsableSlots(row, nowMs)
  if (usable === 0) return 0
  return row.ownership === 'adopter' ? countForAdopter(row, usable, nowMs) : countForPrimary(row, usable, nowMs)
}

/** An adopter shares the endpoint with a primary that may be alive but cut off, so only a new probe counts. */
function countForAdopter (row: EndpointRow, usable: number, nowMs: number): number {
  if (nowMs - row.probedAtMs > steerLimits.adopterProbeMaxAgeMs) return 0
  return Math.max(0, usable - row.inFlight - row.foreign)
}

/** A primary may always use one slot: otherwise a report frozen at "full" would take the endpoint away for good. */
function countForPrimary (row: EndpointRow, usable: number, nowMs: number): number {
  const foreign = nowMs - row.reportAtMs > steerLimits.reportMaxAgeMs ? 0 : row.foreign
  const least = row.inFlight === 0 ? 1 : 0
  return Math.max(least, usable - row.inFlight - foreign)
}
