import type { z } from 'zod'
import type { loanMessages } from './loanMessages.js'
import { shareLimits } from './shareLimits.js'
import type { ShareRow } from './ShareRow.js'

type Announcement = z.infer<typeof loanMessages.announcement>

/** The announcement that a host acknowledged last. */
interface SentAnnouncement {
  readonly incarnation: number
  readonly holdsNothing: boolean
}

/** Decides which announcements of held loans are due to other hosts, so that their restarted processes learn of the loans. */
export class AnnouncementSender {
  private readonly sent = new Map<string, SentAnnouncement>()

  constructor (private readonly rows: Iterable<ShareRow>) {}

  /**
   * Returns the frames that are due to a host, to be sent in order. After an announcement of held loans, another one follows
   * once none is held, so that the receiver can end its quarantine.
   */
  listDue (host: string, incarnation: number): Announcement[] {
    const sent = this.sent.get(host)
    const isDue = sent?.incarnation !== incarnation || (!sent.holdsNothing && this.holdsNothingFrom(host))
    return isDue ? this.createFrames(host, incarnation) : []
  }

  recordSent (host: string, announcement: SentAnnouncement): void {
    this.sent.set(host, announcement)
  }

  /** True when no loan from a host is held and no request to it is pending. */
  private holdsNothingFrom (host: string): boolean {
    return [...this.rows].every((row) => row.share.borrowed.listByLender(host).length === 0 && !row.pending.has(host))
  }

  private createFrames (host: string, to: number): Announcement[] {
    const rows = [...this.rows].flatMap((row) => row.share.borrowed.createStatementRows(host)
      .filter(({ long }) => long > 0)
      .map(({ seq, long }) => ({ customer: row.customer, seq, long })))
    const holdsNothing = this.holdsNothingFrom(host)
    const frames: Announcement[] = []
    for (let start = 0; start === 0 || start < rows.length; start += shareLimits.maxAnnouncementRows) {
      const complete = start + shareLimits.maxAnnouncementRows >= rows.length
      frames.push({ t: 'loan_return', to, rows: rows.slice(start, start + shareLimits.maxAnnouncementRows), complete, holdsNothing })
    }
    return frames
  }
}
