import { SoakFault } from './SoakFault.js'
import type { SoakEndpoint } from './SoakEndpoint.js'
import { soakLimits } from './soakLimits.js'
import type { SoakWorld } from './SoakWorld.js'

/** Time in ms after which the entry of a crashed endpoint is removed, and before its address is used again. */
const entryLifeMs = 2_000

/** Ends endpoints, by plan or by a crash; the address then goes to an endpoint of either service. */
export class EndpointEndFault extends SoakFault {
  readonly name: string
  readonly weight = 3

  constructor (private readonly isPlanned: boolean) {
    super()
    this.name = isPlanned ? 'endpoint-leave' : 'endpoint-crash'
  }

  override async play (world: SoakWorld, holdMs: number): Promise<string> {
    const chosen = world.endpoints.filter((endpoint) => !endpoint.isEnding && this.hasSpare(world, endpoint))
    if (chosen.length === 0) return 'none'
    const endpoint = this.choose(world, chosen)
    const { id } = endpoint.current!
    endpoint.isEnding = true
    const next = world.random.next() < 0.3 && this.countOf(world, endpoint.serviceName) > 2 ? 'stock' : endpoint.serviceName
    if (this.isPlanned) {
      endpoint.drain()
      await this.hold(soakLimits.drainMs + holdMs)
      endpoint.end(true)
      await this.hold(entryLifeMs)
    } else {
      endpoint.end(false)
      await this.hold(entryLifeMs)
      endpoint.forget(id)
      await this.hold(holdMs)
    }
    await endpoint.start(next)
    endpoint.isEnding = false
    return `${id} then ${endpoint.current!.id} of ${next}`
  }

  private hasSpare (world: SoakWorld, endpoint: SoakEndpoint): boolean {
    return this.countOf(world, endpoint.serviceName) > 1
  }

  private countOf (world: SoakWorld, service: string): number {
    return world.endpoints.filter((endpoint) => !endpoint.isEnding && endpoint.serviceName === service).length
  }
}
