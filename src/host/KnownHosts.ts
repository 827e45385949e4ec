import type { Clock } from '../common/Clock.js'
import type { HostRecord } from '../peers/HostRecord.js'
import type { PeerTable } from '../peers/PeerTable.js'

/** Dependencies of the lists. */
interface KnownHostsOptions {
  readonly self: HostRecord
  readonly peers: PeerTable
  readonly clock: Clock
  /** Returns true when this host can serve callers. */
  readonly isReady: () => boolean
  /** Returns true once the table of hosts has been received. */
  readonly hasTable: () => boolean
}

/** Lists the hosts of the system, including this one, as its decisions need them. */
export class KnownHosts {
  constructor (private readonly options: KnownHostsOptions) {}

  /** Lists the hosts that can serve callers now. */
  listServing (): HostRecord[] {
    const { self, peers, clock, isReady } = this.options
    const serving = peers.listAlive(clock.nowMs())
      .filter((row) => row.isReady && !row.isLeaving)
      .map((row) => row.record)
    return isReady() ? [...serving, self] : serving
  }

  /** Lists the names of the live hosts. */
  listLiveNames (): string[] {
    const { self, peers, clock } = this.options
    return [self.name, ...peers.listAlive(clock.nowMs()).map((row) => row.record.name)]
  }

  /** Lists the names of the hosts that may send now, also of those that may only be cut off. */
  listRecentNames (): string[] {
    const { self, peers, clock } = this.options
    return [self.name, ...peers.listRecent(clock.nowMs()).map((row) => row.record.name)]
  }

  /** Returns the number of known hosts; undefined before the table of hosts has been received. */
  count (): number | undefined {
    return this.options.hasTable() ? this.options.peers.size + 1 : undefined
  }
}
