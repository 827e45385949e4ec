import type { z } from 'zod'
import type { PeerMessenger } from '../common/PeerMessenger.js'
import { claimLimits } from './claimLimits.js'
import { claimMessages } from './claimMessages.js'
import type { HandoverRow } from './HandoverRow.js'

type HandoverRows = z.infer<typeof claimMessages.handoverRows>

/** States how completely the rows cover the keys of the home. */
type RecordCoverage = Pick<HandoverRows, 'hostSets' | 'incompleteMs'>

/** Sends the records of a home to another host before a planned stop, and reads them back after the start. */
export class HandoverClient {
  constructor (private readonly messenger: PeerMessenger) {}

  /** Sends all rows in frames of bounded size; returns true when the host has acknowledged the complete handover. */
  async send (target: string, rows: readonly HandoverRow[], coverage: RecordCoverage): Promise<boolean> {
    let frame: HandoverRow[] = []
    let bytes = 0
    for (const row of rows) {
      frame.push(row)
      bytes += claimLimits.rowBytes + (row.answer?.body.length ?? 0)
      if (bytes < claimLimits.handoverFrameBytes) continue
      if (!await this.sendFrame(target, { rows: frame })) return false
      frame = []
      bytes = 0
    }
    if (frame.length > 0 && !await this.sendFrame(target, { rows: frame })) return false
    return await this.sendFrame(target, { rows: [], complete: { rows: rows.length, ...coverage } })
  }

  /** Reads a whole handover from one host; returns undefined when it has none or a frame is lost. */
  async read (holder: string): Promise<HandoverRows | undefined> {
    const rows: HandoverRow[] = []
    for (;;) {
      const answer = await this.messenger.request(holder, { t: 'claim_read', handoverFrom: rows.length }, claimLimits.handoverTimeoutMs)
      const page = claimMessages.handoverRows.safeParse(answer.unwrapOr(undefined)).data
      if (page === undefined || !page.found) return undefined
      rows.push(...page.rows)
      if (rows.length >= page.total) return { ...page, rows }
      if (page.rows.length === 0) return undefined
    }
  }

  private async sendFrame (target: string, content: Record<string, unknown>): Promise<boolean> {
    const answer = await this.messenger.request(target, { t: 'claim_handover', ...content }, claimLimits.handoverTimeoutMs)
    return answer.isOk() && answer.value.t === 'claim_noted'
  }
}
