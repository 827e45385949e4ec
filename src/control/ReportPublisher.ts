import type { Clock } from '../common/Clock.js'
import { encodeUses } from '../membership/encodeUses.js'
import { isUrgentDigest } from '../membership/isUrgentDigest.js'
import type { Listing } from '../membership/Listing.js'
import { membershipTimes } from '../membership/membershipTimes.js'
import type { MemberTable } from '../membership/MemberTable.js'
import type { Digest } from '../model/Digest.js'

/** What the report is kept in and whom it wakes. */
interface OwnReportOptions {
  readonly members: MemberTable
  readonly clock: Clock
  /** The report has changed; an urgent change is spread at once. */
  readonly onChange: (urgent: boolean) => void
}

/** Only operators read the use per customer, so it is spread less often than loads. */
const usesIntervalMs = 1_000

/** What this host spreads of itself: the digest of its entry process and what the platform lists as leaving. */
export class ReportPublisher {
  /** Digest that waits because load-only changes are spread at a limited rate. */
  private pendingDigest: Digest | undefined
  private lastDigestMs = -Infinity
  /** Encoded use per customer of the last digest that carried it on. */
  private encodedUses: Uint8Array | undefined
  private lastUsesMs = -Infinity

  constructor (private readonly options: OwnReportOptions) {}

  /** The newest digest, spread or waiting; undefined before the first. */
  get digest (): Digest | undefined {
    return this.pendingDigest ?? this.publishedDigest
  }

  setDigest (digest: Digest): void {
    this.pendingDigest = digest
    if (isUrgentDigest(this.publishedDigest, digest)) this.publish(digest)
    else this.publishPending()
  }

  /** Load-only digests wait their turn, so that a large deployment does not flood its hosts. */
  publishPending (): void {
    const { members, clock } = this.options
    const intervalMs = Math.max(membershipTimes.spreadMs, members.size * 1_000 / membershipTimes.loadDigestsPerSecond)
    if (this.pendingDigest === undefined || clock.nowMs() - this.lastDigestMs < intervalMs) return
    this.publish(this.pendingDigest)
  }

  /** A host that no longer reads the platform's list sets none, since an outdated one must not stay in force. */
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
      this.encodedUses = encodeUses(digest.uses)
    }
    this.updateReport({ ...digest, uses: [] }, members.self.report?.listing)
  }

  private updateReport (digest: Digest | undefined, listing: Listing | undefined): void {
    const { members, onChange } = this.options
    onChange(members.setReport({ digest, uses: this.encodedUses, listing }))
  }
}
