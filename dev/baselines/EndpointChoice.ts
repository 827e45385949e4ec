import type { EndpointSpec } from '../../src/model/EndpointSpec.js'

/** Chooses the endpoint of a request in a baseline. */
export abstract class EndpointChoice {
  abstract choose (endpoints: readonly EndpointSpec[]): EndpointSpec | undefined

  /** The attempt at an endpoint has ended. */
  release (_endpoint: EndpointSpec): void {}
}
