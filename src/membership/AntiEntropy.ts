import { compareReports } from './compareReports.js'
import type { MemberTable } from './MemberTable.js'
import { membershipTimes as times } from './membershipTimes.js'
import { stateRanks } from './stateRanks.js'
import type { SummaryRow } from './SummaryRow.js'
import type { WireRow } from './WireRow.js'

/** Compares rows with peers a few at a time, which repairs rows that change propagation missed. */
export class AntiEntropy {
  private cursor = 0
  private round = 0

  constructor (private readonly table: MemberTable) {}

  /** Begins a heartbeat round; the next peer receives a summary. */
  startRound (): void {
    this.round += 1
  }

  /** Returns a summary of the next rows for the one peer whose turn it is in this round, otherwise an empty one. */
  buildSummary (peer: string, watchedPeers: readonly string[], hosts: readonly string[]): SummaryRow[] {
    if (watchedPeers[this.round % Math.max(1, watchedPeers.length)] !== peer) return []
    const count = Math.min(times.summaryRows, hosts.length)
    const names = Array.from({ length: count }, (_, i) => hosts[(this.cursor + i) % hosts.length]!)
    this.cursor = (this.cursor + count) % Math.max(1, hosts.length)
    return names.map((name) => {
      const row = this.table.get(name)
      return [name, row?.incarnation ?? 0, row === undefined ? 0 : stateRanks.indexOf(row.state), row?.configVersion ?? 0, row?.report?.incarnation ?? 0, row?.report?.no ?? 0]
    })
  }

  /** Returns the rows that are newer here than in a peer's summary. */
  collectNewerRows (summary: readonly SummaryRow[]): WireRow[] {
    return summary.flatMap(([host, incarnation, state, configVersion, reportIncarnation, no]) => {
      const row = this.table.get(host)
      if (row === undefined || row.incarnation === 0) return []
      const withReport = compareReports(row.report, { incarnation: reportIncarnation, no }) > 0
      const differs = row.incarnation > incarnation || row.configVersion > configVersion || stateRanks.indexOf(row.state) !== state
      return withReport || differs ? [this.table.encode(row, withReport ? 0 : Infinity)] : []
    })
  }
}
