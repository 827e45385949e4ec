import { err } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { CatalogPage } from '../../src/catalog/CatalogPage.js'
import { CatalogStore } from '../../src/catalog/CatalogStore.js'
import type { CatalogTable } from '../../src/catalog/CatalogTable.js'
import type { StoreFailure } from '../../src/catalog/StoreFailure.js'
import type { StorePosition } from '../../src/catalog/StorePosition.js'
import type { HostRecord } from '../../src/peers/HostRecord.js'

/** The store as one host reaches it: its calls can be cut off, or delayed, for this host alone. */
export class CuttableStore extends CatalogStore {
  isCut = false
  /** Delay in ms of the calls for each table; none where there is no entry. */
  delaysMs: Partial<Record<CatalogTable, number>> = {}

  constructor (private readonly inner: CatalogStore) {
    super()
  }

  override async read (table: CatalogTable): Promise<Result<CatalogPage, StoreFailure>> {
    return await this.pass(table, async () => await this.inner.read(table))
  }

  override async follow (table: CatalogTable, after: number, waitMs: number, signal: AbortSignal): Promise<Result<CatalogPage, StoreFailure>> {
    return await this.pass(table, async () => await this.inner.follow(table, after, waitMs, signal))
  }

  override async check (table: CatalogTable, after: number): Promise<Result<CatalogPage, StoreFailure>> {
    return await this.pass(table, async () => await this.inner.check(table, after))
  }

  override async registerHost (host: HostRecord): Promise<Result<StorePosition, StoreFailure>> {
    return await this.pass('hosts', async () => await this.inner.registerHost(host))
  }

  override close (): void {
    this.inner.close()
  }

  private async pass<T> (table: CatalogTable, call: () => Promise<Result<T, StoreFailure>>): Promise<Result<T, StoreFailure>> {
    const delayMs = this.delaysMs[table] ?? 0
    if (delayMs > 0) await new Promise((resolve) => setTimeout(resolve, delayMs))
    const result = this.isCut ? undefined : await call()
    return result === undefined || this.isCut ? err({ kind: 'unavailable', message: 'cut off' }) : result
  }
}
