import type { SoakCluster } from './SoakCluster.js'

/** A kind of fault that the soak injects any number of times, also at the same time as other faults. */
export abstract class SoakFault {
  abstract readonly name: string
  /** Weight of this kind in the random choice among all kinds. */
  abstract readonly weight: number

  /** Injects the fault, reverts it after `holdMs` and returns what it affected, for the log. */
  abstract inject (cluster: SoakCluster, holdMs: number): Promise<string>

  protected async wait (ms: number): Promise<void> {
    await new Promise((resolve) => setTimeout(resolve, ms))
  }

  protected pickRandom<Item> (cluster: SoakCluster, items: readonly Item[]): Item {
    return items[cluster.random.integer(items.length)]!
  }
}
