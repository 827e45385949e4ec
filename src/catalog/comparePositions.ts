import type { StorePosition } from './StorePosition.js'

/** Orders positions by era, then by version; negative when `a` comes first. */
export function comparePositions (a: StorePosition, b: StorePosition): number {
  return a.era === b.era ? a.version - b.version : a.era - b.era
}
