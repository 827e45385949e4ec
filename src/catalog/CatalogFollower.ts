import type { Clock } from '../common/Clock.js'
import type { Logger } from '../common/Logger.js'
import type { Catalog } from './Catalog.js'
import type { CatalogStore } from './CatalogStore.js'
import type { CatalogTable } from './CatalogTable.js'
import { catalogLimits } from './catalogLimits.js'
import type { StoreFailure } from './StoreFailure.js'
import type { StoreHealth } from './StoreHealth.js'

/** Dependencies of a follower. */
interface FollowerOptions {
  readonly store: CatalogStore
  readonly catalog: Catalog
  readonly health: StoreHealth
  readonly clock: Clock
  readonly logger: Logger
  readonly random: () => number
  /** Returns false while other hosts read the store and this one receives the tables from its peers. */
  readonly shouldRead: () => boolean
}

/** Keeps the local copy of one table up to date with the store. */
export class CatalogFollower {
  private isStopped = false
  private backoffMs: number = catalogLimits.minBackoffMs
  private needsFullRead = true

  constructor (private readonly table: CatalogTable, private readonly options: FollowerOptions) {}

  /** Follows the table until `stop` is called. */
  async run (): Promise<void> {
    while (!this.isStopped) {
      const pauseMs = await this.step()
      if (pauseMs > 0) await new Promise((resolve) => setTimeout(resolve, pauseMs))
    }
  }

  stop (): void {
    this.isStopped = true
  }

  /** Makes at most one call and returns the time in ms to wait before the next step. */
  private async step (): Promise<number> {
    const { catalog, shouldRead } = this.options
    if (!shouldRead() && catalog.versionOf(this.table) >= 0) return catalogLimits.readerCheckMs
    return this.needsFullRead ? await this.read() : await this.follow()
  }

  private async read (): Promise<number> {
    const { store, catalog, clock } = this.options
    const page = await store.read(this.table)
    if (page.isErr()) return this.handleFailure(page.error)
    this.handleSuccess()
    catalog.apply(this.table, page.value, clock.nowMs(), 'store')
    this.needsFullRead = false
    return 0
  }

  private async follow (): Promise<number> {
    const { store, catalog, clock, health } = this.options
    const after = catalog.resumeAfter(this.table)
    // A long poll would reveal that the store is reachable again only when it ends.
    const waitMs = health.isDown ? 0 : catalogLimits.followWaitMs
    const page = await store.follow(this.table, after, waitMs)
    if (page.isErr()) return this.handleFailure(page.error)
    this.handleSuccess()
    catalog.apply(this.table, page.value, clock.nowMs(), 'store')
    return page.value.rows.length > 0 ? catalogLimits.batchMs[this.table] : 0
  }

  private handleSuccess (): void {
    this.backoffMs = catalogLimits.minBackoffMs
    const { health, clock, logger } = this.options
    if (health.recordSuccess(this.table, clock.nowMs())) logger.info('store-regained', { table: this.table })
  }

  private handleFailure (failure: StoreFailure): number {
    const { logger, health, random } = this.options
    if (failure.kind === 'historyGone') {
      logger.info('history-gone', { table: this.table })
      this.needsFullRead = true
      return 0
    }
    if (health.recordFailure()) logger.warn('store-lost', { table: this.table, kind: failure.kind, reason: failure.message })
    const pauseMs = this.backoffMs * (0.5 + random())
    this.backoffMs = Math.min(catalogLimits.maxBackoffMs, this.backoffMs * 2)
    return pauseMs
  }
}
