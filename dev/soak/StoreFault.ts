import type { StoreFaults } from '../store/StoreFaults.js'
import { SoakFault } from './SoakFault.js'
import type { SoakWorld } from './SoakWorld.js'

const healthy: StoreFaults = { down: undefined, delayMs: 0, losesWriteAnswers: false }

/** Makes the store fail for everybody: away in one of several ways, slow, or losing answers or its history. */
export class StoreFault extends SoakFault {
  readonly weight = 2

  constructor (readonly name: string, private readonly faults: Partial<StoreFaults>, private readonly forgets = false) {
    super()
  }

  override async play (world: SoakWorld, holdMs: number): Promise<string> {
    const end = world.ledger.calm.disturb('store', performance.now())
    Object.assign(world.store.faults, this.faults)
    if (this.forgets) world.store.tables.forgetHistory()
    await this.hold(holdMs)
    Object.assign(world.store.faults, healthy)
    end(performance.now())
    return 'store'
  }
}
