import type { LinkFaults } from '../proxy/LinkFaults.js'
import { SoakFault } from './SoakFault.js'
import type { SoakCluster } from './SoakCluster.js'

/** Kinds of targets whose links a fault may affect. */
type LinkTarget = 'endpoint' | 'host' | 'store' | 'callers'

const targets: readonly LinkTarget[] = ['endpoint', 'host', 'store', 'callers']
const healthy: Partial<LinkFaults> = { cut: false, silentForward: false, silentBackward: false, silencesOpen: false, extraDelayMs: 0 }

/** Sets faults on the links of one host to all targets of one kind, or of all kinds. */
export class LinkFault extends SoakFault {
  constructor (readonly name: string, readonly weight: number, private readonly faults: Partial<LinkFaults>) {
    super()
  }

  override async inject (cluster: SoakCluster, holdMs: number): Promise<string> {
    const host = this.pickRandom(cluster, cluster.hosts)
    const kinds = cluster.random.next() < 0.2 ? targets : [this.pickRandom(cluster, targets)]
    const affected = kinds.includes('host') ? cluster.hosts : [host]
    const end = cluster.history.disturbHosts(affected.map((host) => host.name))
    for (const kind of kinds) await cluster.setLinkFaults(host.name, kind, this.faults)
    await this.wait(holdMs)
    for (const kind of kinds) await cluster.setLinkFaults(host.name, kind, healthy)
    end()
    return `${host.name} to ${kinds.join('+')}`
  }
}
