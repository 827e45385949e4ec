import { match, P } from 'ts-pattern'
import type { CatalogRow } from './CatalogRow.js'

/**
 * Returns true when a row of an earlier era is newer than what the restored store has under its key. Versions decide only when
 * the restored one is higher, since low ones are given out again. A configuration has an order of its own.
 */
export function holdsAfterRestore (earlier: CatalogRow, restored: CatalogRow | undefined): boolean {
  if (restored?.entry === undefined) return earlier.entry !== undefined
  if (earlier.entry?.kind !== 'routing' && restored.version > earlier.version) return false
  return match([earlier.entry, restored.entry] as const)
    // A removed row that is there again.
    .with([undefined, P._], () => true)
    .with([{ kind: 'routing' }, { kind: 'routing' }], ([known, found]) => known.config.version > found.config.version)
    .with([{ kind: 'host' }, { kind: 'host' }], ([known, found]) => known.host.incarnation > found.host.incarnation)
    .with([{ kind: 'endpoint' }, { kind: 'endpoint' }], ([{ endpoint: known }, { endpoint: found }]) =>
      // An incarnation that has begun to leave does not return.
      known.bornAtMs === found.bornAtMs ? known.isDraining && !found.isDraining : known.bornAtMs > found.bornAtMs)
    .otherwise(() => false)
}
