import { SoakFault } from './SoakFault.js'
import type { SoakWorld } from './SoakWorld.js'

/** Stops the clock of a host process for a while. */
export class HostPauseFault extends SoakFault {
  readonly name = 'host-pause'
  readonly weight = 3

  override async play (world: SoakWorld, holdMs: number): Promise<string> {
    const host = this.choose(world, world.hosts)
    const { calm, unplanned } = world.ledger
    const ends = [calm, unplanned].map((log) => log.disturb(host.name, performance.now()))
    host.process.signal('SIGSTOP')
    await this.hold(holdMs)
    host.process.signal('SIGCONT')
    for (const end of ends) end(performance.now())
    return host.name
  }
}
