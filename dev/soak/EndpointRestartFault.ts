import { SoakFault } from './SoakFault.js'
import type { SoakEndpoint } from './SoakEndpoint.js'
import { soakLimits } from './soakLimits.js'
import type { SoakCluster } from './SoakCluster.js'

/** Restarts in one fault, as of a process that crashes soon after each start. */
const restarts = 3

/**
 * Crashes a share of the endpoints several times; each time new ones start at their addresses at once. The earlier entries stay
 * listed until they expire, and the new endpoints refuse what is sent to the earlier ones, with second copies of the refusals.
 */
export class EndpointRestartFault extends SoakFault {
  override readonly name = 'endpoint-restart'
  override readonly weight = 8

  override async inject (cluster: SoakCluster, holdMs: number): Promise<string> {
    const share = 0.3 + 0.3 * cluster.random.next()
    const chosen = cluster.endpoints.filter((endpoint) => !endpoint.isStopping && cluster.random.next() < share)
    const restarted = await Promise.all(chosen.map(async (endpoint) => await this.restart(endpoint, holdMs)))
    return restarted.join(' ')
  }

  private async restart (endpoint: SoakEndpoint, holdMs: number): Promise<string> {
    const earlier: string[] = []
    endpoint.isStopping = true
    for (let count = 0; count < restarts; count++) {
      earlier.push(endpoint.current!.id)
      endpoint.stop(false)
      await endpoint.start(endpoint.serviceName)
      endpoint.current!.behaviour = 'repeat'
      await this.wait(holdMs / restarts)
    }
    await this.wait(soakLimits.entryExpiryMs)
    for (const id of earlier) endpoint.deregister(id)
    endpoint.current!.behaviour = 'good'
    endpoint.isStopping = false
    return `${earlier.join(',')} then ${endpoint.current!.id}`
  }
}
