import type { RetryBudgetState } from '../budget/RetryBudgetState.js'
import type { CatalogTable } from '../catalog/CatalogTable.js'

/** Values that are read when metrics are scraped. */
export interface HostGauges {
  readonly countInFlight: () => number
  readonly countConnections: () => number
  /** Returns how many of them are not read, so that the end of the caller would not be noticed. */
  readonly countUnreadConnections: () => number
  /** Returns how many requests were not handled since their callers had left. */
  readonly countAbandoned: () => number
  readonly countPeers: () => number
  readonly configVersion: () => number
  readonly isStoreDown: () => boolean
  /** Returns for how long in ms the local copy of a table may miss changes. */
  readonly getTableAge: (table: CatalogTable) => number
  readonly getBehindMs: (table: CatalogTable) => number
  /** Returns the era of the store that the local copy of the orders belongs to. */
  readonly getStoreEra: () => number
  /** Returns how many rows of a table hold although the store has lost them by a restore. */
  readonly countRetainedRows: (table: CatalogTable) => number
  readonly countLimitedEndpoints: () => number
  readonly countLeavingEndpoints: () => number
  readonly countBackingOffEndpoints: () => number
  readonly listRetryBudgets: () => readonly RetryBudgetState[]
}
