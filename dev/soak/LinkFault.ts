import type { LinkFaults } from '../proxy/LinkFaults.js'
import { SoakFault } from './SoakFault.js'
import type { SoakWorld } from './SoakWorld.js'

/** Targets of a host's links that a fault hits. */
type FaultTarget = 'endpoint' | 'host' | 'store' | 'callers'

const targets: readonly FaultTarget[] = ['endpoint', 'host', 'store', 'callers']
const healthy: Partial<LinkFaults> = { cut: false, silentForward: false, silentBackward: false, extraDelayMs: 0 }

/** Disturbs the links of one host to all targets of a kind, or to everything. */
export class LinkFault extends SoakFault {
  constructor (readonly name: string, readonly weight: number, private readonly faults: Partial<LinkFaults>) {
    super()
  }

  override async play (world: SoakWorld, holdMs: number): Promise<string> {
    const host = this.choose(world, world.hosts)
    const kinds = world.random.next() < 0.2 ? targets : [this.choose(world, targets)]
    const touched = kinds.includes('host') ? world.hosts : [host]
    const end = world.ledger.disturbHosts(touched.map((one) => one.name))
    for (const kind of kinds) await world.setLinkFaults(host.name, kind, this.faults)
    await this.hold(holdMs)
    for (const kind of kinds) await world.setLinkFaults(host.name, kind, healthy)
    end()
    return `${host.name} to ${kinds.join('+')}`
  }
}
