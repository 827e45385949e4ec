import { SoakFault } from './SoakFault.js'
import { soakLimits } from './soakLimits.js'
import type { SoakWorld } from './SoakWorld.js'

/** Changes the settings file of some hosts, with a signal or without. */
export class SettingsFault extends SoakFault {
  readonly name = 'settings'
  readonly weight = 2

  override async play (world: SoakWorld): Promise<string> {
    const chosen = world.hosts.filter(() => world.random.next() < 0.5)
    for (const host of chosen) {
      host.changeSettings(soakLimits.retrySlack - world.random.integer(10))
      if (world.random.next() < 0.7) host.process.signal('SIGHUP')
    }
    return chosen.map((host) => host.name).join(',')
  }
}
