import type { Route } from '../routing/Route.js'
import { placementLimits } from './placementLimits.js'

/** Mean service times in ms of a route's requests, for an object that the endpoint has handled recently and for a new one. */
interface ServiceTimeRow {
  knownMs: number
  newMs: number
}

/** Learns how long endpoints work on a request of each route, without network delay and waiting. */
export class ServiceTimes {
  private readonly rows = new Map<string, ServiceTimeRow>()

  record (route: Route, isKnown: boolean, serviceMs: number): void {
    const row = this.ensureRow(route)
    const field = isKnown ? 'knownMs' : 'newMs'
    row[field] += placementLimits.serviceTimeWeight * (serviceMs - row[field])
  }

  /** Returns the expected service time in ms; a new object never takes less than a known one. */
  expect (route: Route, isKnown: boolean): number {
    const row = this.rows.get(route.name) ?? createRow(route)
    return isKnown ? row.knownMs : Math.max(row.newMs, row.knownMs)
  }

  /** Returns the row of a route; the route that was added first makes room for a further one. */
  private ensureRow (route: Route): ServiceTimeRow {
    const existing = this.rows.get(route.name)
    if (existing !== undefined) return existing
    const row = createRow(route)
    this.rows.set(route.name, row)
    const oldest = this.rows.keys().next()
    if (this.rows.size > placementLimits.maxTimedRoutes && oldest.done !== true) this.rows.delete(oldest.value)
    return row
  }
}

/** Until requests have been measured, the objective is taken for the time of a new object. */
function createRow (route: Route): ServiceTimeRow {
  return { newMs: route.objectiveMs, knownMs: route.objectiveMs * placementLimits.initialKnownShare }
}
