import type { PlatformEndpoint } from '../store/PlatformEndpoint.js'
import { SoakFault } from './SoakFault.js'
import type { SoakCluster } from './SoakCluster.js'

/** Sets the same faulty behaviour at a random share of the endpoints. */
export class EndpointBehaviourFault extends SoakFault {
  readonly name: string
  readonly weight = 1

  constructor (private readonly behaviour: PlatformEndpoint['behaviour']) {
    super()
    this.name = `endpoint-${behaviour}`
  }

  override async inject (cluster: SoakCluster, holdMs: number): Promise<string> {
    const share = 0.2 + 0.3 * cluster.random.next()
    const chosen = cluster.endpoints.flatMap((endpoint) => endpoint.current !== undefined && cluster.random.next() < share ? [endpoint.current] : [])
    for (const endpoint of chosen) endpoint.behaviour = this.behaviour
    await this.wait(holdMs)
    for (const endpoint of chosen) endpoint.behaviour = 'good'
    return chosen.map((endpoint) => endpoint.id).join(',')
  }
}
