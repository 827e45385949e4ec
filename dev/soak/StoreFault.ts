import type { StoreFaults } from '../store/StoreFaults.js'
import { SoakFault } from './SoakFault.js'
import type { SoakCluster } from './SoakCluster.js'

const healthy: StoreFaults = { down: undefined, delayMs: 0, losesWriteAnswers: false }

/** Injects faults of the store for all hosts: unavailable, slow, with lost responses or without its change history. */
export class StoreFault extends SoakFault {
  readonly weight = 2

  constructor (readonly name: string, private readonly faults: Partial<StoreFaults>, private readonly truncatesHistory = false) {
    super()
  }

  override async inject (cluster: SoakCluster, holdMs: number): Promise<string> {
    const end = cluster.history.disturbances.begin('store', performance.now())
    Object.assign(cluster.store.faults, this.faults)
    if (this.truncatesHistory) cluster.store.tables.truncateHistory()
    await this.wait(holdMs)
    Object.assign(cluster.store.faults, healthy)
    end(performance.now())
    return 'store'
  }
}
