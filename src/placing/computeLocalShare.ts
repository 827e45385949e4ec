import { placementLimits } from './placementLimits.js'

/** Demand and capacity of a service in one region. */
interface RegionLoad {
  readonly region: string
  /** Requests per second that the hosts in the region receive. */
  readonly demand: number
  /** Slots of the endpoints in the region that can serve requests. */
  readonly slots: number
}

/**
 * Computes the share of a region's requests that its own endpoints should serve. A region keeps its requests up to a load
 * per slot that exceeds the mean of all regions by a factor. The factor is large at low utilization, when other regions
 * don't need the spare capacity. `utilization` is the busy share of all slots.
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
