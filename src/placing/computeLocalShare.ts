import { placementLimits } from './placementLimits.js'

/** One region's part in a service. */
interface RegionLoad {
  readonly region: string
  /** Requests a second that its hosts receive. */
  readonly demand: number
  /** Slots of its endpoints that can serve. */
  readonly slots: number
}

/**
 * Share of a region's requests that its own endpoints should serve. A region keeps its requests up to a load per slot
 * somewhat over the mean of all regions; the factor is large while the service is calm, since then nobody needs the room.
 * `use` is the share of all slots that is busy now.
 */
export function computeLocalShare (region: string, loads: readonly RegionLoad[], utilization: number): number {
  const own = loads.find((load) => load.region === region)
  if (own === undefined || own.slots === 0) return 0
  if (own.demand === 0) return 1
  const totalDemand = sum(loads.map((load) => load.demand))
  const totalSlots = sum(loads.map((load) => load.slots))
  const maxLoadPerSlot = totalDemand / totalSlots * computeHeadroomFactor(utilization)
  return Math.min(1, maxLoadPerSlot * own.slots / own.demand)
}

function computeHeadroomFactor (utilization: number): number {
  const { localUtilization, minHeadroomFactor, maxHeadroomFactor } = placementLimits
  return Math.min(maxHeadroomFactor, Math.max(minHeadroomFactor, localUtilization / Math.max(utilization, localUtilization / maxHeadroomFactor)))
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}
