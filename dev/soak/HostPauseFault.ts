import { SoakFault } from './SoakFault.js'
import type { SoakWorld } from './SoakWorld.js'

/** Stops the clock of a host process for a while. */
export class HostPauseFault extends SoakFault {
  readonly name = 'host-pause'
  readonly weight = 3

  override async play (world: SoakWorld, holdMs: number): Promise<string> {
    const host = this.choose(world, world.hosts)
    const end = world.ledger.disturbHosts([host.name])
    host.process.signal('SIGSTOP')
    await this.hold(holdMs)
    host.process.signal('SIGCONT')
    end()
    return host.name
  }
}
