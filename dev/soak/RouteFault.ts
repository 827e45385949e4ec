import { SoakFault } from './SoakFault.js'
import { soakLimits } from './soakLimits.js'
import type { SoakCluster } from './SoakCluster.js'

/** Adds a route to the configuration, which callers then use, and removes it again. */
export class RouteFault extends SoakFault {
  readonly name = 'config-route'
  readonly weight = 4
  private count = 0

  override async inject (cluster: SoakCluster, holdMs: number): Promise<string> {
    this.count += 1
    const prefix = `/new-${this.count}/`
    cluster.addRoute(prefix)
    await this.wait(2 * soakLimits.configApplyMs + holdMs)
    cluster.removeRoute(prefix)
    return prefix
  }
}
