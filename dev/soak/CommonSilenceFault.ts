import { SoakFault } from './SoakFault.js'
import type { SoakCluster } from './SoakCluster.js'

/** Lets the open connections of all hosts, to the store, to each other and to endpoints, fall silent for good at one moment. */
export class CommonSilenceFault extends SoakFault {
  readonly name = 'all-silent'
  readonly weight = 4

  override async inject (cluster: SoakCluster): Promise<string> {
    const end = cluster.history.disturbHosts(cluster.hosts.map((host) => host.name))
    await cluster.silenceOpenConnections()
    end()
    return 'all hosts'
  }
}
