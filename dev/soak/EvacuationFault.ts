import { SoakFault } from './SoakFault.js'
import type { SoakOrder } from './SoakOrder.js'
import { soakLimits } from './soakLimits.js'
import type { SoakWorld } from './SoakWorld.js'

/** Empties a zone and takes it back; one zone at a time. */
export class EvacuationFault extends SoakFault {
  readonly name = 'evacuate'
  readonly weight = 1
  private isUnderWay = false

  override async play (world: SoakWorld, holdMs: number): Promise<string> {
    if (this.isUnderWay) return 'none'
    this.isUnderWay = true
    const { zone } = this.choose(world, world.endpoints)
    const key = `evacuate/${zone}`
    world.store.tables.put('op', key, {})
    const order: SoakOrder & { kind: 'evacuate' } = { kind: 'evacuate', zone, atMs: performance.now(), untilMs: Infinity }
    world.ledger.orders.push(order)
    await this.hold(soakLimits.evacuationMs + holdMs)
    order.untilMs = performance.now()
    world.store.tables.remove('op', key)
    this.isUnderWay = false
    return zone
  }
}
