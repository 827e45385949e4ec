import type { SoakCluster } from './SoakCluster.js'
import { SoakFault } from './SoakFault.js'

/** Number of routes by which a configuration grows. */
const grownRoutes = 1_000

/** Adds many routes that no caller uses, so that each change of the configuration is large, and removes them again. */
export class ConfigGrowthFault extends SoakFault {
  readonly name = 'config-growth'
  readonly weight = 6

  override async inject (cluster: SoakCluster, holdMs: number): Promise<string> {
    cluster.setIdleRoutes(grownRoutes)
    await this.wait(holdMs)
    cluster.setIdleRoutes(0)
    return `${grownRoutes} routes`
  }
}
