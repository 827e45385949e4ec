import type { EndpointSpec } from '../../src/model/EndpointSpec.js'
import { EndpointChoice } from './EndpointChoice.js'

/** Always the first endpoint, which is the nearest one. */
export class FixedChoice extends EndpointChoice {
  override choose (endpoints: readonly EndpointSpec[]): EndpointSpec | undefined {
    return endpoints[0]
  }
}
