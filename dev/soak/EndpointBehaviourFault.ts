import type { PlatformEndpoint } from '../store/PlatformEndpoint.js'
import { SoakFault } from './SoakFault.js'
import type { SoakWorld } from './SoakWorld.js'

/** Lets some endpoints misbehave in one way. */
export class EndpointBehaviourFault extends SoakFault {
  readonly name: string
  readonly weight = 1

  constructor (private readonly behaviour: PlatformEndpoint['behaviour']) {
    super()
    this.name = `endpoint-${behaviour}`
  }

  override async play (world: SoakWorld, holdMs: number): Promise<string> {
    const share = 0.2 + 0.3 * world.random.next()
    const chosen = world.endpoints.flatMap((endpoint) => endpoint.current !== undefined && world.random.next() < share ? [endpoint.current] : [])
    for (const endpoint of chosen) endpoint.behaviour = this.behaviour
    await this.hold(holdMs)
    for (const endpoint of chosen) endpoint.behaviour = 'good'
    return chosen.map((endpoint) => endpoint.id).join(',')
  }
}
