import { SoakFault } from './SoakFault.js'
import { soakLimits } from './soakLimits.js'
import type { SoakWorld } from './SoakWorld.js'

/** Changes the configuration: a route is added, used and removed again. */
export class RouteFault extends SoakFault {
  readonly name = 'config-route'
  readonly weight = 4
  private count = 0

  override async play (world: SoakWorld, holdMs: number): Promise<string> {
    this.count += 1
    const prefix = `/new-${this.count}/`
    const remove = world.addRoute(prefix)
    await this.hold(2 * soakLimits.configApplyMs + holdMs)
    remove()
    return prefix
  }
}
