import type { EndpointSpec } from '../../src/model/EndpointSpec.js'
import { EndpointSelector } from './EndpointSelector.js'

/** Selects an endpoint of the service uniformly at random, regardless of its load and zone. */
export class RandomSelector extends EndpointSelector {
  override select (endpoints: readonly EndpointSpec[]): EndpointSpec | undefined {
    return endpoints[Math.floor(Math.random() * endpoints.length)]
  }
}
