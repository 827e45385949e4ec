import { SoakFault } from './SoakFault.js'
import { soakLimits } from './soakLimits.js'
import type { SoakCluster } from './SoakCluster.js'

/** Adds a route, moves it to the other service and into one region, and removes it again. */
export class RouteMoveFault extends SoakFault {
  readonly name = 'config-move'
  readonly weight = 4
  private count = 0

  override async inject (cluster: SoakCluster, holdMs: number): Promise<string> {
    this.count += 1
    const prefix = `/move-${this.count}/`
    cluster.addRoute(prefix)
    await this.wait(soakLimits.configApplyMs + holdMs)
    cluster.moveRoute(prefix)
    await this.wait(2 * soakLimits.configApplyMs + holdMs)
    cluster.removeRoute(prefix)
    return prefix
  }
}
