import { SoakFault } from './SoakFault.js'
import type { SoakEndpoint } from './SoakEndpoint.js'
import { soakLimits } from './soakLimits.js'
import type { SoakCluster } from './SoakCluster.js'

/** Drains and stops an endpoint, withdraws its entry and stops it, or crashes it; then starts a new endpoint of either service at its address. */
export class EndpointShutdownFault extends SoakFault {
  readonly name: string
  readonly weight = 3

  constructor (private readonly kind: 'leave' | 'withdraw' | 'crash') {
    super()
    this.name = `endpoint-${kind}`
  }

  override async inject (cluster: SoakCluster, holdMs: number): Promise<string> {
    const chosen = cluster.endpoints.filter((endpoint) => !endpoint.isStopping && this.hasReplica(cluster, endpoint))
    if (chosen.length === 0) return 'none'
    const endpoint = this.pickRandom(cluster, chosen)
    const { id } = endpoint.current!
    endpoint.isStopping = true
    const next = cluster.random.next() < 0.3 && this.countAvailable(cluster, endpoint.serviceName) > 2 ? 'stock' : endpoint.serviceName
    if (this.kind !== 'crash') {
      if (this.kind === 'leave') endpoint.drain()
      else endpoint.withdraw()
      await this.wait(soakLimits.drainMs + holdMs)
      endpoint.stop(true)
      await this.wait(soakLimits.entryExpiryMs)
    } else {
      endpoint.stop(false)
      await this.wait(soakLimits.entryExpiryMs)
      endpoint.deregister(id)
      await this.wait(holdMs)
    }
    await endpoint.start(next)
    endpoint.isStopping = false
    return `${id} then ${endpoint.current!.id} of ${next}`
  }

  private hasReplica (cluster: SoakCluster, endpoint: SoakEndpoint): boolean {
    return this.countAvailable(cluster, endpoint.serviceName) > 1
  }

  private countAvailable (cluster: SoakCluster, service: string): number {
    return cluster.endpoints.filter((endpoint) => !endpoint.isStopping && endpoint.serviceName === service).length
  }
}
