import { catalogLimits } from '../catalog/catalogLimits.js'
import type { Clock } from '../common/Clock.js'
import { chooseReaders } from './chooseReaders.js'
import type { HostRecord } from './HostRecord.js'
import type { PeerTable } from './PeerTable.js'

/** What the choice of readers looks at. */
interface StoreReadersOptions {
  readonly self: HostRecord
  readonly peers: PeerTable
  readonly clock: Clock
}

/** Time in ms for which a choice is kept. */
const choiceTtlMs = 100

/**
 * Decides which hosts ask the store. Calls are priced and each change wakes every host that waits for it, so a few hosts of
 * each region ask and pass on. When none of the chosen ones hears the store, every host asks by itself.
 */
export class StoreReaders {
  private readers = new Set<string>()
  private chosenAtMs = -Infinity

  constructor (private readonly options: StoreReadersOptions) {}

  isReader (host: string): boolean {
    this.refresh()
    return this.readers.has(host)
  }

  /** True when this host is to ask the store now. */
  shouldRead (): boolean {
    return this.isReader(this.options.self.name) || !this.hasConnectedReader()
  }

  /** True when missing entries are gone; a host that doesn't ask the store goes by those that do. */
  isSettled (isOwnSettled: boolean): boolean {
    if (this.shouldRead()) return isOwnSettled
    const { peers, clock } = this.options
    return peers.listAlive(clock.nowMs()).some((row) => this.readers.has(row.record.name) && row.isStoreSettled)
  }

  /** Some reader of any region heard the store lately. */
  private hasConnectedReader (): boolean {
    const { peers, clock } = this.options
    const nowMs = clock.nowMs()
    return peers.listAlive(nowMs).some((row) => this.readers.has(row.record.name) &&
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
