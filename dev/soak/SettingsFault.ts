import { SoakFault } from './SoakFault.js'
import { soakLimits } from './soakLimits.js'
import type { SoakCluster } from './SoakCluster.js'

/** Changes the settings file of some hosts, and sends SIGHUP to most of these. */
export class SettingsFault extends SoakFault {
  readonly name = 'settings'
  readonly weight = 2

  override async inject (cluster: SoakCluster): Promise<string> {
    const chosen = cluster.hosts.filter(() => cluster.random.next() < 0.5)
    for (const host of chosen) {
      host.changeSettings(soakLimits.retrySlack - cluster.random.integer(10))
      if (cluster.random.next() < 0.7) host.process.signal('SIGHUP')
    }
    return chosen.map((host) => host.name).join(',')
  }
}
