import type { EndpointSpec } from '../../src/model/EndpointSpec.js'
import { EndpointChoice } from './EndpointChoice.js'

/** The endpoint with the fewest requests of this host in flight. */
export class LeastInFlightChoice extends EndpointChoice {
  private readonly inFlight = new Map<string, number>()

  override choose (endpoints: readonly EndpointSpec[]): EndpointSpec | undefined {
    const offset = Math.floor(Math.random() * endpoints.length)
    const rotated = [...endpoints.slice(offset), ...endpoints.slice(0, offset)]
    const [least] = rotated.sort((a, b) => this.count(a) - this.count(b))
    if (least !== undefined) this.inFlight.set(least.name, this.count(least) + 1)
    return least
  }

  override release (endpoint: EndpointSpec): void {
    this.inFlight.set(endpoint.name, this.count(endpoint) - 1)
  }

  private count ({ name }: EndpointSpec): number {
    return this.inFlight.get(name) ?? 0
  }
}
