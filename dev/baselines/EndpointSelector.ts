import type { EndpointSpec } from '../../src/model/EndpointSpec.js'

/** Selects the endpoint that a baseline forwards a request to. */
export abstract class EndpointSelector {
  abstract select (endpoints: readonly EndpointSpec[]): EndpointSpec | undefined

  /** Records the end of the request to an endpoint. */
  release (_endpoint: EndpointSpec): void {}
}
