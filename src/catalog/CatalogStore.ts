import type { Result } from 'neverthrow'
import type { CatalogPage } from './CatalogPage.js'
import type { CatalogTable } from './CatalogTable.js'
import type { HostRecord } from '../peers/HostRecord.js'
import type { StoreFailure } from './StoreFailure.js'

/** The platform's store as this system uses it. Calls end by themselves within a bounded time. */
export abstract class CatalogStore {
  /** Reads a whole table as of one version. */
  abstract read (table: CatalogTable): Promise<Result<CatalogPage, StoreFailure>>

  /** Waits up to `waitMs` for changes after a version; the page is empty when there are none. */
  abstract follow (table: CatalogTable, after: number, waitMs: number): Promise<Result<CatalogPage, StoreFailure>>

  /** Ends calls that wait; no call may follow. */
  abstract close (): void

  /** Registers a host; registering it again replaces the entry. */
  abstract registerHost (host: HostRecord): Promise<Result<void, StoreFailure>>
}
