import type { StoreHealth } from '../catalog/StoreHealth.js'
import type { Clock } from '../common/Clock.js'
import { hostLimits } from './hostLimits.js'

/** Inputs of the decision. */
interface StartupGateOptions {
  readonly health: StoreHealth
  readonly clock: Clock
}

/**
 * Decides when a host that has just started may rely on its tables. A peer that is cut off from the store may have sent them,
 * and then list endpoints that have left. Once open, the gate stays open.
 */
export class StartupGate {
  private isOpen = false
  private readonly startMs: number

  constructor (private readonly options: StartupGateOptions) {
    this.startMs = options.clock.nowMs()
  }

  /** True once every table was read from the store, the store is known to be unreachable, or the longest wait is over. */
  get mayRelyOnTables (): boolean {
    const { health, clock } = this.options
    this.isOpen ||= health.hasReadAll || health.isDown || clock.nowMs() - this.startMs >= hostLimits.maxStartupWaitMs
    return this.isOpen
  }
}
