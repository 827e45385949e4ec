import type { Clock } from '../common/Clock.js'
import type { Listing } from '../membership/Listing.js'
import type { HostList } from '../platform/HostList.js'

interface ListingReaderOptions {
  readonly hosts: HostList
  readonly clock: Clock
  readonly onListing: (listing: Listing) => void
}

/** Pause in ms after a failed read of the list. */
const failurePauseMs = 5_000

/** Reads which hosts and upstreams the platform lists as leaving. */
export class ListingReader {
  private pausedUntilMs = -Infinity
  private isReading = false

  constructor (private readonly options: ListingReaderOptions) {}

  async poll (): Promise<void> {
    const { hosts, clock, onListing } = this.options
    if (this.isReading || clock.nowMs() < this.pausedUntilMs) return
    this.isReading = true
    const list = await hosts.read()
    this.isReading = false
    if (list.isErr()) {
      this.pausedUntilMs = clock.nowMs() + failurePauseMs
      return
    }
    const leaving = list.value.filter(({ state }) => state === 'leaving')
    onListing({
      endpoints: leaving.filter(({ kind }) => kind === 'upstream').map(({ name }) => name).sort(),
      hosts: leaving.filter(({ kind }) => kind === 'entry').map(({ name }) => name).sort()
    })
  }
}
