import { catalogLimits } from '../catalog/catalogLimits.js'
import type { CatalogTable } from '../catalog/CatalogTable.js'
import type { StoreHealth } from '../catalog/StoreHealth.js'
import type { Clock } from '../common/Clock.js'
import { chooseReaders } from './chooseReaders.js'
import type { HostRecord } from './HostRecord.js'
import type { PeerRow } from './PeerRow.js'
import type { PeerTable } from './PeerTable.js'

/** Inputs to the choice of readers. */
interface StoreReadersOptions {
  readonly self: HostRecord
  readonly peers: PeerTable
  /** This host's own calls to the store. */
  readonly health: StoreHealth
  readonly clock: Clock
}

/** Time in ms for which a choice stays valid. */
const choiceTtlMs = 100

/**
 * Decides which hosts read the store. Store calls are billed and each change wakes every waiting host, so only a few hosts
 * of each region read the store and forward changes to the others. When no reader reaches the store, every host reads it.
 */
export class StoreReaders {
  private readers = new Set<string>()
  private chosenAtMs = -Infinity

  constructor (private readonly options: StoreReadersOptions) {}

  isReader (host: string): boolean {
    this.refresh()
    return this.readers.has(host)
  }

  /** Returns true when this host must read the store now. */
  shouldRead (): boolean {
    return this.isReader(this.options.self.name) || !this.hasConnectedReader()
  }

  /** Returns the place of this host among the readers, in the same order on all hosts, and their number. */
  getPlace (): { readonly index: number, readonly count: number } {
    this.refresh()
    const names = [...this.readers].sort()
    const index = names.indexOf(this.options.self.name)
    // A host that reads the store because no reader reaches it can't rely on the others.
    return index < 0 ? { index: 0, count: 1 } : { index, count: names.length }
  }

  /**
   * Returns true when missing entries count as removed, and did not lapse in an outage of the store. A host that doesn't read
   * the store relies on the readers' reports. When only this host's calls fail, the trouble is its own and no entries lapse.
   */
  isSettled (isOwnSettled: boolean): boolean {
    const connected = this.listConnectedReaders()
    if (!this.shouldRead()) return connected.some((row) => row.isStoreSettled)
    return isOwnSettled || (connected.length > 0 && connected.every((row) => row.isStoreSettled))
  }

  /**
   * Returns for how long in ms the local copy of a table may miss changes: the time since the latest call to the store, by any
   * host, whose changes this host has. Infinite while no host is known to have read the table.
   */
  getTableAge (table: CatalogTable, nowMs: number): number {
    const contacts = [...this.options.peers].map((row) => row.tableContacts.get(table) ?? -Infinity)
    return Math.min(this.options.health.tableAgeMs(table, nowMs), nowMs - Math.max(...contacts))
  }

  private hasConnectedReader (): boolean {
    return this.listConnectedReaders().length > 0
  }

  /** Lists the other readers of any region that have reached the store recently. */
  private listConnectedReaders (): PeerRow[] {
    this.refresh()
    const { peers, clock } = this.options
    const nowMs = clock.nowMs()
    return peers.listAlive(nowMs).filter((row) => this.readers.has(row.record.name) &&
      row.lastStoreContactAtMs !== undefined && nowMs - row.lastStoreContactAtMs < catalogLimits.readerTimeoutMs)
  }

  private refresh (): void {
    const { self, peers, clock } = this.options
    const nowMs = clock.nowMs()
    if (nowMs - this.chosenAtMs < choiceTtlMs) return
    this.chosenAtMs = nowMs
    const alive = peers.listAlive(nowMs).filter((row) => !row.isLeaving).map((row) => row.record)
    this.readers = chooseReaders([self, ...alive], catalogLimits.readersPerRegion)
  }
}
