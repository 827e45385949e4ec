import type { EndpointSpec } from '../../src/model/EndpointSpec.js'
import { EndpointChoice } from './EndpointChoice.js'

/** Any endpoint of the service, whatever its load and place. */
export class RandomChoice extends EndpointChoice {
  override choose (endpoints: readonly EndpointSpec[]): EndpointSpec | undefined {
    return endpoints[Math.floor(Math.random() * endpoints.length)]
  }
}
