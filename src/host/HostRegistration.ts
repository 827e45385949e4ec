import type { Catalog } from '../catalog/Catalog.js'
import { catalogLimits } from '../catalog/catalogLimits.js'
import type { CatalogStore } from '../catalog/CatalogStore.js'
import { CatalogTable } from '../catalog/CatalogTable.js'
import { comparePositions } from '../catalog/comparePositions.js'
import type { StorePosition } from '../catalog/StorePosition.js'
import { formatException } from '../common/formatException.js'
import type { Logger } from '../common/Logger.js'
import { System } from '../common/System.js'
import type { HostRecord } from '../peers/HostRecord.js'
import { hostLimits } from './hostLimits.js'

/** Dependencies of the registration. */
interface HostRegistrationOptions {
  readonly store: CatalogStore
  readonly catalog: Catalog
  /** Record of this host; the newest state is registered. */
  readonly self: HostRecord
  readonly logger: Logger
  readonly isLeaving: () => boolean
}

/** Registers this host in the store, so that the other hosts find it, and again when the store has lost the registration. */
export class HostRegistration extends System {
  override readonly name = 'registration'
  /** Position of the last registration; undefined until the store has accepted it. */
  private registeredAt: StorePosition | undefined
  private nextCheckAtMs = 0

  constructor (private readonly options: HostRegistrationOptions) {
    super()
  }

  override run (nowMs: number): void {
    if (nowMs < this.nextCheckAtMs || !this.isLost) return
    this.nextCheckAtMs = nowMs + hostLimits.registrationPauseMs
    this.options.logger.warn('registration-lost')
    this.start()
  }

  /** Registers the host's current state in the background. */
  start (): void {
    this.registeredAt = undefined
    this.register().catch((error: unknown) => this.options.logger.error('task-failed', { task: 'register', error: formatException(error) }))
  }

  /** Registers the host, retrying until the store accepts it or the host is leaving. */
  private async register (): Promise<void> {
    const { store, self, logger, isLeaving } = this.options
    while (!isLeaving()) {
      const result = await store.registerHost(self)
      if (result.isOk()) {
        this.registeredAt = result.value
        logger.info('registered', { peerAddress: self.peerAddress })
        return
      }
      logger.warn('register-failed', { reason: result.error.message })
      await new Promise((resolve) => setTimeout(resolve, catalogLimits.maxBackoffMs))
    }
  }

  /** True when a copy of the table that is later than the registration has no row of this process. */
  private get isLost (): boolean {
    const { catalog, self } = this.options
    if (this.registeredAt === undefined || comparePositions(catalog.resumeAfter(CatalogTable.hosts), this.registeredAt) < 0) return false
    const entry = catalog.findStored(CatalogTable.hosts, self.name)?.entry
    return entry?.kind !== 'host' || entry.host.incarnation < self.incarnation
  }
}
