import { SoakFault } from './SoakFault.js'
import type { SoakChange } from './SoakChange.js'
import { soakLimits } from './soakLimits.js'
import type { SoakCluster } from './SoakCluster.js'

/** Evacuates a zone and then cancels the evacuation; one zone at a time. */
export class EvacuationFault extends SoakFault {
  readonly name = 'evacuate'
  readonly weight = 1
  private isActive = false

  override async inject (cluster: SoakCluster, holdMs: number): Promise<string> {
    if (this.isActive) return 'none'
    this.isActive = true
    const { zone } = this.pickRandom(cluster, cluster.endpoints)
    const key = `evacuate/${zone}`
    cluster.store.tables.put('op', key, {})
    const change: SoakChange & { kind: 'evacuate' } = { kind: 'evacuate', zone, atMs: performance.now(), untilMs: Infinity }
    cluster.history.changes.push(change)
    await this.wait(soakLimits.evacuationMs + holdMs)
    change.untilMs = performance.now()
    cluster.store.tables.remove('op', key)
    this.isActive = false
    return zone
  }
}
