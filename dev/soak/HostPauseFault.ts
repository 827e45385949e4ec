import { SoakFault } from './SoakFault.js'
import type { SoakCluster } from './SoakCluster.js'

/** Suspends a host process and resumes it. */
export class HostPauseFault extends SoakFault {
  readonly name = 'host-pause'
  readonly weight = 3

  override async inject (cluster: SoakCluster, holdMs: number): Promise<string> {
    const host = this.pickRandom(cluster, cluster.hosts)
    const end = cluster.history.disturbHosts([host.name])
    host.process.signal('SIGSTOP')
    await this.wait(holdMs)
    host.process.signal('SIGCONT')
    end()
    return host.name
  }
}
