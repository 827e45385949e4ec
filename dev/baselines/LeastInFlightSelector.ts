import type { EndpointSpec } from '../../src/model/EndpointSpec.js'
import { EndpointSelector } from './EndpointSelector.js'

/** Selects the endpoint with the fewest requests in flight from this host; ties are broken at random. */
export class LeastInFlightSelector extends EndpointSelector {
  private readonly inFlight = new Map<string, number>()

  override select (endpoints: readonly EndpointSpec[]): EndpointSpec | undefined {
    const offset = Math.floor(Math.random() * endpoints.length)
    const rotated = [...endpoints.slice(offset), ...endpoints.slice(0, offset)]
    const [least] = rotated.sort((a, b) => this.countInFlight(a) - this.countInFlight(b))
    if (least !== undefined) this.inFlight.set(least.name, this.countInFlight(least) + 1)
    return least
  }

  override release (endpoint: EndpointSpec): void {
    this.inFlight.set(endpoint.name, this.countInFlight(endpoint) - 1)
  }

  private countInFlight ({ name }: EndpointSpec): number {
    return this.inFlight.get(name) ?? 0
  }
}
