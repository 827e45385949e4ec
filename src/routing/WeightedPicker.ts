import type { Route } from './Route.js'

/** Credit of each part of a route, in the order of its parts. */
interface PickerRow {
  readonly credits: number[]
}

/**
 * Distributes the requests of each route over its parts by smooth weighted round-robin: any run of requests deviates
 * from the weights by less than one request per part. A part without room doesn't pass its share on to the others.
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
