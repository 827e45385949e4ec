import { match } from 'ts-pattern'
import { catalogLimits } from './catalogLimits.js'
import { CatalogTable } from './CatalogTable.js'

/** Times in ms within which changes must be in force once they were acknowledged. */
interface PropagationBounds {
  /** Changes of the configuration. */
  readonly configApplyMs: number
  /** Leavings of endpoints. */
  readonly drainMs: number
}

/** Share of a bound after which a copy that isn't confirmed counts as stale; the rest is for the host's own call to the store. */
const boundShare = 0.85

/** Returns the time in ms without a proof after which the local copy of a table counts as stale, so that its changes still arrive within their bound. */
export function computeStaleAfterMs (table: CatalogTable, bounds: PropagationBounds): number {
  const longestMs = catalogLimits.staleAfterMs[table]
  return match(table)
    .with(CatalogTable.orders, () => Math.min(longestMs, bounds.configApplyMs * boundShare))
    .with(CatalogTable.endpoints, () => Math.min(longestMs, bounds.drainMs * boundShare))
    .with(CatalogTable.hosts, () => longestMs)
    .exhaustive()
}
