import type { Clock } from '../common/Clock.js'
import { encodeCustomerUsage } from '../membership/encodeCustomerUsage.js'
import { isUrgentDigestChange } from '../membership/isUrgentDigestChange.js'
import type { Listing } from '../membership/Listing.js'
import { membershipTimes } from '../membership/membershipTimes.js'
import type { MemberTable } from '../membership/MemberTable.js'
import type { Digest } from '../model/Digest.js'

interface ReportPublisherOptions {
  readonly members: MemberTable
  readonly clock: Clock
  /** Called when the report has changed; an urgent change must be sent to other hosts at once. */
  readonly onChange: (urgent: boolean) => void
}

/** Minimum interval in ms between updates of the use per customer, which only operators read. */
const usesIntervalMs = 1_000

/** Publishes this host's report to other hosts: the digest of its entry process and the names that the platform lists as leaving. */
export class ReportPublisher {
  /** Digest that is not published yet, because load-only changes are rate limited. */
  private pendingDigest: Digest | undefined
  private lastDigestMs = -Infinity
  /** Encoded use per customer from the last digest that updated it. */
  private encodedUses: Uint8Array | undefined
  private lastUsesMs = -Infinity

  constructor (private readonly options: ReportPublisherOptions) {}

  /** The newest digest, published or pending; undefined before the first. */
  get digest (): Digest | undefined {
    return this.pendingDigest ?? this.publishedDigest
  }

  setDigest (digest: Digest): void {
    this.pendingDigest = digest
    if (isUrgentDigestChange(this.publishedDigest, digest)) this.publish(digest)
    else this.publishPending()
  }

  /** Publishes the pending digest if the interval has passed; the interval grows with the number of hosts to bound the load of a large deployment. */
  publishPending (): void {
    const { members, clock } = this.options
    const intervalMs = Math.max(membershipTimes.gossipIntervalMs, members.size * 1_000 / membershipTimes.loadDigestsPerSecond)
    if (this.pendingDigest === undefined || clock.nowMs() - this.lastDigestMs < intervalMs) return
    this.publish(this.pendingDigest)
  }

  /** Sets the platform's list; undefined when this host no longer reads it, since an outdated list must not stay in force. */
  setListing (listing: Listing | undefined): void {
    const { report } = this.options.members.self
    if (JSON.stringify(report?.listing) === JSON.stringify(listing)) return
    this.updateReport(report?.digest, listing)
  }

  private get publishedDigest (): Digest | undefined {
    return this.options.members.self.report?.digest
  }

  private publish (digest: Digest): void {
    const { members, clock } = this.options
    const nowMs = clock.nowMs()
    this.pendingDigest = undefined
    this.lastDigestMs = nowMs
    if (nowMs - this.lastUsesMs >= usesIntervalMs && digest.uses.length > 0) {
      this.lastUsesMs = nowMs
      this.encodedUses = encodeCustomerUsage(digest.uses)
    }
    this.updateReport({ ...digest, uses: [] }, members.self.report?.listing)
  }

  private updateReport (digest: Digest | undefined, listing: Listing | undefined): void {
    const { members, onChange } = this.options
    onChange(members.setReport({ digest, uses: this.encodedUses, listing }))
  }
}
