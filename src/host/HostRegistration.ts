import { catalogLimits } from '../catalog/catalogLimits.js'
import type { CatalogStore } from '../catalog/CatalogStore.js'
import type { Logger } from '../common/Logger.js'
import type { HostRecord } from '../peers/HostRecord.js'

/** Dependencies of the registration. */
interface HostRegistrationOptions {
  readonly store: CatalogStore
  /** Record of this host; the newest state is registered. */
  readonly self: HostRecord
  readonly logger: Logger
  readonly isLeaving: () => boolean
}

/** Registers this host in the store, so that the other hosts find it. */
export class HostRegistration {
  constructor (private readonly options: HostRegistrationOptions) {}

  /** Registers the host, retrying until the store accepts it or the host is leaving. */
  async run (): Promise<void> {
    const { store, self, logger, isLeaving } = this.options
    while (!isLeaving()) {
      const result = await store.registerHost(self)
      if (result.isOk()) {
        logger.info('registered', { peerAddress: self.peerAddress })
        return
      }
      logger.warn('register-failed', { reason: result.error.message })
      await new Promise((resolve) => setTimeout(resolve, catalogLimits.maxBackoffMs))
    }
  }
}
