import type { SoakWorld } from './SoakWorld.js'

/** One kind of fault that the soak injects, any number of times and beside others. */
export abstract class SoakFault {
  abstract readonly name: string
  /** How often it is chosen beside the others. */
  abstract readonly weight: number

  /** Injects the fault, holds it for `holdMs` and takes it back; returns what was chosen, for the log. */
  abstract play (world: SoakWorld, holdMs: number): Promise<string>

  protected async hold (ms: number): Promise<void> {
    await new Promise((resolve) => setTimeout(resolve, ms))
  }

  protected choose<Item> (world: SoakWorld, items: readonly Item[]): Item {
    return items[world.random.integer(items.length)]!
  }
}
