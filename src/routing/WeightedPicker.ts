import type { Route } from './Route.js'

/** Credits of a route's services, in the order of `parts`. */
interface PickerRow {
  readonly credits: number[]
}

/**
 * Distributes the requests of each route over its services by smooth weighted round-robin: in any run of requests, the
 * deviation from the weights is less than one request per service. The share of a service without capacity is not
 * redistributed to the others.
 */
export class WeightedPicker {
  private readonly rows = new Map<string, PickerRow>()

  pick (route: Route): string {
    const { parts } = route
    if (parts.length === 1) return parts[0]!.service
    const { credits } = this.ensureRow(route)
    let best = 0
    let total = 0
    for (const [index, part] of parts.entries()) {
      credits[index] = credits[index]! + part.weight
      total += part.weight
      if (credits[index]! > credits[best]!) best = index
    }
    credits[best] = credits[best]! - total
    return parts[best]!.service
  }

  private ensureRow (route: Route): PickerRow {
    const row = this.rows.get(route.name)
    if (row !== undefined && row.credits.length === route.parts.length) return row
    const created = { credits: route.parts.map(() => 0) }
    this.rows.set(route.name, created)
    return created
  }
}
