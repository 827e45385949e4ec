import { catalogLimits } from '../catalog/catalogLimits.js'
import { CatalogTable } from '../catalog/CatalogTable.js'
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
  /** Returns the time in ms after which the local copy of a table counts as stale. */
  readonly getStaleAfterMs: (table: CatalogTable) => number
}

/** Time in ms for which a choice stays valid. */
const choiceTtlMs = 100

/**
 * Decides which hosts read the store. Store calls are billed and each change wakes every waiting host, so only a few hosts
 * of each region read the store and forward changes to the others. A host that has no proof that some reader has read a
 * table lately reads that table itself.
 */
export class StoreReaders {
  private readers = new Set<string>()
  private chosenAtMs = -Infinity

  constructor (private readonly options: StoreReadersOptions) {}

  isReader (host: string): boolean {
    this.refresh()
    return this.readers.has(host)
  }

  /** Returns true when this host must read a table from the store now. */
  shouldRead (table: CatalogTable): boolean {
    return this.isReader(this.options.self.name) || !this.isReadByOthers(table)
  }

  /**
   * Returns the place of this host among the readers of its region, in the same order on all of its hosts, and their number. Polls
   * are spread within a region, since heartbeats between regions are too rare with many hosts to prove that a table is complete.
   */
  getPlace (): { readonly index: number, readonly count: number } {
    this.refresh()
    const { self, peers } = this.options
    const names = [...this.readers].filter((name) => name === self.name || peers.get(name)?.record.region === self.region).sort()
    const index = names.indexOf(self.name)
    // A host that reads the store because no reader reaches it can't rely on the others.
    return index < 0 ? { index: 0, count: 1 } : { index, count: names.length }
  }

  /**
   * Returns true when missing entries count as removed, and did not lapse in an outage of the store. A host that doesn't read
   * the store relies on the readers' reports. When only this host's calls fail, the trouble is its own and no entries lapse.
   */
  isSettled (isOwnSettled: boolean): boolean {
    const connected = this.listConnectedReaders()
    if (!this.shouldRead(CatalogTable.endpoints)) return connected.some((row) => row.isStoreSettled)
    return isOwnSettled || (connected.length > 0 && connected.every((row) => row.isStoreSettled))
  }

  /**
   * Returns for how long in ms the local copy of a table may miss changes: the time since the latest call to the store, by any
   * host, whose changes this host has. Infinite while no host is known to have read the table.
   */
  getTableAge (table: CatalogTable, nowMs: number): number {
    return Math.min(this.options.health.tableAgeMs(table, nowMs), nowMs - findLatestContact([...this.options.peers], table))
  }

  /** Returns true when another host, which is to read the store, is known to have read a table lately. */
  private isReadByOthers (table: CatalogTable): boolean {
    const readers = this.selectReaders([...this.options.peers])
    return this.options.clock.nowMs() - findLatestContact(readers, table) < this.options.getStaleAfterMs(table)
  }

  /** Lists the other live readers of any region whose calls for endpoints have succeeded recently. */
  private listConnectedReaders (): PeerRow[] {
    const { peers, clock } = this.options
    const nowMs = clock.nowMs()
    const alive = this.selectReaders(peers.listAlive(nowMs))
    return alive.filter((row) => nowMs - findLatestContact([row], CatalogTable.endpoints) < catalogLimits.reportValidMs)
  }

  private selectReaders (rows: readonly PeerRow[]): PeerRow[] {
    this.refresh()
    return rows.filter((row) => this.readers.has(row.record.name))
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

/** Returns the time of the latest call to the store for a table by any of the peers; -Infinity when none is known. */
function findLatestContact (peers: readonly PeerRow[], table: CatalogTable): number {
  return Math.max(-Infinity, ...peers.map((row) => row.tableContacts.get(table) ?? -Infinity))
}
