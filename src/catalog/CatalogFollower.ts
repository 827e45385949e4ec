import type { Result } from 'neverthrow'
import type { Clock } from '../common/Clock.js'
import { formatException } from '../common/formatException.js'
import type { Logger } from '../common/Logger.js'
import type { Catalog } from './Catalog.js'
import type { CatalogPage } from './CatalogPage.js'
import type { CatalogStore } from './CatalogStore.js'
import type { CatalogTable } from './CatalogTable.js'
import { catalogLimits } from './catalogLimits.js'
import { comparePositions } from './comparePositions.js'
import { PollSchedule } from './PollSchedule.js'
import type { StoreFailure } from './StoreFailure.js'
import type { StoreHealth } from './StoreHealth.js'
import type { StorePosition } from './StorePosition.js'
import type { TableFreshness } from './TableFreshness.js'

/** Dependencies of a follower. */
interface FollowerOptions {
  readonly store: CatalogStore
  readonly catalog: Catalog
  readonly health: StoreHealth
  readonly clock: Clock
  readonly logger: Logger
  readonly random: () => number
  /** Returns false while other hosts read the store and this one receives the tables from its peers. */
  readonly shouldRead: (table: CatalogTable) => boolean
  readonly freshness: TableFreshness
  /** Returns the place of this host among those of its region that read the store, and their number. */
  readonly getReaderPlace: () => { readonly index: number, readonly count: number }
}

/** Keeps the local copy of one table up to date with the store. */
export class CatalogFollower {
  private isStopped = false
  private backoffMs: number = catalogLimits.minBackoffMs
  private needsFullRead = true
  /** True from a full read that replaces changes until a call for changes after it succeeds. */
  private isFullReadUnconfirmed = false
  /** True after a call without a response; the next call shows whether the store or only the connection is gone. */
  private isConfirming = false
  /** Era of the store by its last response. */
  private era: number | undefined
  private readonly schedule: PollSchedule

  constructor (private readonly table: CatalogTable, private readonly options: FollowerOptions) {
    this.schedule = new PollSchedule({ maxWaitMs: catalogLimits.maxFollowWaitMs, spacingMs: catalogLimits.pollSpacingMs[table] })
  }

  /** Follows the table until `stop` is called. */
  async run (): Promise<void> {
    while (!this.isStopped) {
      const pauseMs = await this.stepSafely()
      if (pauseMs > 0) await new Promise((resolve) => setTimeout(resolve, pauseMs))
    }
  }

  stop (): void {
    this.isStopped = true
  }

  /** An exception, such as one while a change is applied, must not leave the host without further changes. */
  private async stepSafely (): Promise<number> {
    try {
      return await this.step()
    } catch (error) {
      this.options.logger.error('follow-failed', { table: this.table, error: formatException(error) })
      return catalogLimits.maxBackoffMs
    }
  }

  /** Makes at most one call and returns the time in ms to wait before the next step. */
  private async step (): Promise<number> {
    const { catalog, shouldRead } = this.options
    if (!shouldRead(this.table) && catalog.versionOf(this.table) >= 0) return catalogLimits.readerCheckMs
    return this.needsFullRead ? await this.read() : await this.follow()
  }

  private async read (): Promise<number> {
    const { store, catalog, clock } = this.options
    const page = await store.read(this.table)
    if (page.isErr()) return this.handleFailure(page.error)
    this.logEra(page.value)
    this.handleSuccess(page.value)
    const held = catalog.positionOf(this.table)
    catalog.apply(this.table, page.value, clock.nowMs(), 'store')
    if (comparePositions(page.value, held) < 0) this.logDroppedRead(page.value, held)
    this.needsFullRead = false
    return 0
  }

  private async follow (): Promise<number> {
    const { store, catalog, clock } = this.options
    const page = await this.poll(store, catalog.resumeAfter(this.table).version)
    if (page.isErr()) return this.handleFailure(page.error)
    this.logEra(page.value)
    // Rows of another era are no changes after the copy's version.
    if (page.value.era !== catalog.positionOf(this.table).era) return this.restartFromFullRead()
    this.handleSuccess(page.value)
    this.isFullReadUnconfirmed = false
    this.backoffMs = catalogLimits.minBackoffMs
    catalog.apply(this.table, page.value, clock.nowMs(), 'store')
    return page.value.rows.length === 0 ? 0 : catalogLimits.batchMs[this.table]
  }

  /** While it is open whether the store can be reached, a long poll would reveal that only when it ends. */
  private async poll (store: CatalogStore, after: number): Promise<Result<CatalogPage, StoreFailure>> {
    const { clock, health, getReaderPlace } = this.options
    if (health.isDown || this.isConfirming || this.isStale) return await store.check(this.table, after)
    return await this.endWhenStale(async (signal) =>
      await store.follow(this.table, after, this.schedule.nextWaitMs(getReaderPlace(), clock.nowMs()), signal))
  }

  /** Ends a long poll when no host has read the table for too long, since its connection may have fallen silent. */
  private async endWhenStale<T> (poll: (signal: AbortSignal) => Promise<T>): Promise<T> {
    const controller = new AbortController()
    const timer = setInterval(() => { if (this.isStale) controller.abort() }, catalogLimits.readerCheckMs)
    try {
      return await poll(controller.signal)
    } finally {
      clearInterval(timer)
    }
  }

  private get isStale (): boolean {
    const { clock, freshness } = this.options
    return freshness.isStale(this.table, clock.nowMs())
  }

  private logDroppedRead ({ era, version }: StorePosition, held: StorePosition): void {
    this.options.logger.warn('full-read-dropped', { table: this.table, era, version, heldEra: held.era, heldVersion: held.version })
  }

  private logEra ({ era, version }: StorePosition): void {
    const { catalog, logger } = this.options
    if (this.era !== undefined && era !== this.era) logger.warn('store-era-changed', { table: this.table, era, before: this.era, version, heldVersion: catalog.versionOf(this.table) })
    this.era = era
  }

  /** A full read follows at once, and after a pause when the one before it has not led to a successful call for changes. */
  private restartFromFullRead (): number {
    this.needsFullRead = true
    const isRepeated = this.isFullReadUnconfirmed
    this.isFullReadUnconfirmed = true
    return isRepeated ? this.nextBackoffMs() : 0
  }

  private nextBackoffMs (): number {
    const pauseMs = this.backoffMs * (0.5 + this.options.random())
    this.backoffMs = Math.min(catalogLimits.maxBackoffMs, this.backoffMs * 2)
    return pauseMs
  }

  private handleSuccess ({ storeTimeMs }: CatalogPage): void {
    this.isConfirming = false
    const { health, clock, logger } = this.options
    const nowMs = clock.nowMs()
    if (storeTimeMs !== undefined) this.schedule.synchronize(storeTimeMs, nowMs)
    if (health.recordSuccess(this.table, nowMs)) logger.info('store-regained', { table: this.table })
  }

  private handleFailure (failure: StoreFailure): number {
    const { catalog, logger, health } = this.options
    if (failure.kind === 'disconnected' && !this.isConfirming && !health.isDown) {
      this.isConfirming = true
      logger.info('store-connection-lost', { table: this.table, reason: failure.message })
      return 0
    }
    if (failure.kind === 'historyGone') {
      logger.info('history-gone', { table: this.table, after: catalog.resumeAfter(this.table).version })
      return this.restartFromFullRead()
    }
    if (health.recordFailure(this.table)) logger.warn('store-lost', { table: this.table, kind: failure.kind, reason: failure.message })
    return this.nextBackoffMs()
  }
}
