import type { Result } from 'neverthrow'
import type { CatalogPage } from './CatalogPage.js'
import type { CatalogTable } from './CatalogTable.js'
import type { HostRecord } from '../peers/HostRecord.js'
import type { StoreFailure } from './StoreFailure.js'
import type { StorePosition } from './StorePosition.js'

/** The operations of the platform's store that hosts use. Every call completes within a bounded time. */
export abstract class CatalogStore {
  /** Reads a whole table as of one store version. */
  abstract read (table: CatalogTable): Promise<Result<CatalogPage, StoreFailure>>

  /**
   * Waits up to `waitMs` for changes after version `after`. Returns an empty page when there are none. Fails as `disconnected`
   * when `signal` is aborted.
   */
  abstract follow (table: CatalogTable, after: number, waitMs: number, signal: AbortSignal): Promise<Result<CatalogPage, StoreFailure>>

  /** Asks for changes after version `after` without waiting, on a new connection, since open ones may have fallen silent. */
  abstract check (table: CatalogTable, after: number): Promise<Result<CatalogPage, StoreFailure>>

  /** Aborts pending calls. No call may be made afterwards. */
  abstract close (): void

  /** Registers a host, replacing its earlier registration; returns the position at which it did. */
  abstract registerHost (host: HostRecord): Promise<Result<StorePosition, StoreFailure>>
}
