import type { CatalogTable } from '../catalog/CatalogTable.js'
import type { StorePosition } from '../catalog/StorePosition.js'
import type { TablePositions } from './TablePositions.js'

/** Returns the position of a table; one without an era, as from an earlier release, counts as of `ownEra`. */
export function positionOf ({ versions, eras }: TablePositions, table: CatalogTable, ownEra: number): StorePosition {
  return { era: eras?.[table] ?? ownEra, version: versions[table] }
}
