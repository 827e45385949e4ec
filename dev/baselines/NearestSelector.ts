import type { EndpointSpec } from '../../src/model/EndpointSpec.js'
import { EndpointSelector } from './EndpointSelector.js'

/** Always selects the first endpoint of the list, which is the nearest one. */
export class NearestSelector extends EndpointSelector {
  override select (endpoints: readonly EndpointSpec[]): EndpointSpec | undefined {
    return endpoints[0]
  }
}
