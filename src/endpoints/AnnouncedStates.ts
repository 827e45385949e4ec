import type { AnnouncedState } from './AnnouncedState.js'
import { endpointLimits } from './endpointLimits.js'
import type { EndpointRecord } from './EndpointRecord.js'

/** What an incarnation of an endpoint announced. */
interface Announcement {
  readonly address: string
  readonly bornAtMs: number
  readonly state: AnnouncedState
}

/**
 * Keeps what incarnations announced after their registry entries have gone or were replaced. An entry may come back, as after an
 * outage of the store or when another writer had put one in its place, while the incarnation is still leaving or wants no requests.
 */
export class AnnouncedStates {
  /** By the id of the endpoint, oldest first. */
  private readonly announcements = new Map<string, Announcement>()

  keep ({ id, address, bornAtMs }: EndpointRecord, state: AnnouncedState): void {
    this.announcements.delete(id)
    this.announcements.set(id, { address, bornAtMs, state })
    if (this.announcements.size > endpointLimits.maxKeptAnnouncements) this.announcements.delete(this.announcements.keys().next().value!)
  }

  /** Returns what the incarnation of an entry that is back announced, and forgets it; undefined for another incarnation. */
  take ({ id, address, bornAtMs }: EndpointRecord): AnnouncedState | undefined {
    const kept = this.announcements.get(id)
    this.announcements.delete(id)
    return kept?.address === address && kept.bornAtMs === bornAtMs ? kept.state : undefined
  }
}
