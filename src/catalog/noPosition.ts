import type { StorePosition } from './StorePosition.js'

/** Position of a table without a copy; comes before all positions of a store. */
export const noPosition: StorePosition = { era: 0, version: -1 }
