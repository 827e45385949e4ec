import type { Member } from '../model/Member.js'
import { MemberState } from '../model/MemberState.js'
import { compareReports } from './compareReports.js'
import { isUrgentDigestChange } from './isUrgentDigestChange.js'
import type { MemberReport } from './MemberReport.js'
import type { MemberRow } from './MemberRow.js'
import { membershipTimes as times } from './membershipTimes.js'
import { stateRanks } from './stateRanks.js'
import type { WireRow } from './WireRow.js'
import { update } from '../common/update.js'

/** Identity of the own host. */
interface LocalHost {
  readonly host: string
  readonly zone: string
  /** Start of the agent in ms since the Unix epoch. */
  readonly incarnation: number
}

/** Effect of merging a row; `urgent` changes are sent to the peers at once. */
type MergeResult = 'none' | 'changed' | 'urgent'

/** Changed rows for a peer, limited to the size of one frame. */
interface ChangePage {
  readonly rows: readonly WireRow[]
  /** Number of the last change covered by the page. */
  readonly upTo: number
}

/**
 * Holds the state of all hosts as seen by one agent. Rows are linked in the order of their last change, so the cost of
 * collecting the changes for a peer depends on the number of changes and not on the number of hosts.
 */
export class MemberTable {
  readonly self: MemberRow
  private readonly rows = new Map<string, MemberRow>()
  private readonly suspects = new Set<MemberRow>()
  private newest: MemberRow | undefined
  private lastChangeNo = 0

  constructor (self: LocalHost) {
    this.self = this.insert(self.host, self.zone)
    this.self.incarnation = self.incarnation
    this.self.state = MemberState.alive
    this.recordChange(this.self, '')
  }

  get changeNo (): number {
    return this.lastChangeNo
  }

  get size (): number {
    return this.rows.size
  }

  get (host: string): MemberRow | undefined {
    return this.rows.get(host)
  }

  list (): IterableIterator<MemberRow> {
    return this.rows.values()
  }

  /** Returns the effective state of a host: a flapping host counts as suspect until its damping ends. */
  findState (host: string, nowMs: number): MemberState {
    const row = this.rows.get(host)
    if (row === undefined) return MemberState.dead
    return row.state === MemberState.alive && nowMs < row.dampedUntilMs ? MemberState.suspect : row.state
  }

  listMembers (nowMs: number): Member[] {
    return [...this.rows.values()].map((row) => this.toMember(row, nowMs))
  }

  /** Increments the own sequence number; called once per heartbeat round. */
  incrementSeq (): void {
    this.self.seq += 1
  }

  setConfigVersion (configVersion: number): void {
    this.self.configVersion = configVersion
    this.self.seq += 1
    this.recordChange(this.self, '')
  }

  /** Replaces the own report; returns true when the change must be sent to the peers at once. */
  setReport (report: Pick<MemberReport, 'digest' | 'uses' | 'listing'>): boolean {
    const { self } = this
    const before = self.report
    const no = before?.incarnation === self.incarnation ? before.no + 1 : 1
    self.report = { ...report, incarnation: self.incarnation, no }
    self.seq += 1
    this.recordChange(self, '', true)
    if (report.uses !== before?.uses) self.usesNo = self.changeNo
    return isUrgentDigestChange(before?.digest, report.digest) || JSON.stringify(before?.listing) !== JSON.stringify(report.listing)
  }

  /** Merges a row received from a peer. */
  merge (wire: WireRow, peer: string, nowMs: number): MergeResult {
    const [host, zone, incarnation, seq, stateNo, configVersion, report] = wire
    const state = stateRanks[stateNo]
    if (state === undefined) return 'none'
    if (host === this.self.host) return this.refute(incarnation, seq, state)
    if (!this.rows.has(host) && this.rows.size >= times.maxRows) return 'none'
    const row = this.rows.get(host) ?? this.insert(host, zone)
    const comparison = compareRows(row, { incarnation, seq, state })
    let result: MergeResult = this.mergeReport(row, report, peer)
    if (comparison < 0) {
      // The peer holds an outdated suspicion; sending the row again refutes the suspicion on behalf of the host.
      if (state !== MemberState.alive && row.state === MemberState.alive) this.recordChange(row, '')
      return result
    }
    if (incarnation > row.incarnation && row.incarnation > 0) this.clearServing(row, peer)
    const changed = row.incarnation !== incarnation || row.state !== state || row.configVersion !== configVersion
    update(row, { zone, incarnation, seq, configVersion })
    this.changeState(row, state, nowMs)
    if (changed) {
      this.recordChange(row, peer)
      result = 'urgent'
    }
    return result
  }

  /** Marks a silent host as suspect; the host can refute this with a higher sequence number. */
  markSuspect (host: string, nowMs: number): boolean {
    const row = this.rows.get(host)
    if (row === undefined || row.state !== MemberState.alive) return false
    this.changeState(row, MemberState.suspect, nowMs)
    this.recordChange(row, '')
    return true
  }

  /** Marks suspect hosts as dead when their time for refutation has ended; returns their names. */
  expireSuspects (nowMs: number): string[] {
    const expired = [...this.suspects].filter(({ deadAtMs }) => deadAtMs <= nowMs)
    for (const row of expired) {
      this.changeState(row, MemberState.dead, nowMs)
      this.recordChange(row, '')
    }
    return expired.map(({ host }) => host)
  }

  /** Removes dead hosts that are no longer part of the configuration. */
  pruneDead (isConfigured: (host: string) => boolean): void {
    for (const row of this.rows.values()) {
      if (row === this.self || row.state !== MemberState.dead || isConfigured(row.host)) continue
      this.unlink(row)
      this.rows.delete(row.host)
    }
  }

  /** Returns whether a row that changed after `since` passes `filter`. */
  hasChanges (since: number, filter: (row: MemberRow) => boolean): boolean {
    for (let row = this.newest; row !== undefined && row.changeNo > since; row = row.older) {
      if (filter(row)) return true
    }
    return false
  }

  /** Collects rows that changed after `since` and pass `filter`, the oldest change first, as many as fit into a frame. */
  collectChanges (since: number, filter: (row: MemberRow) => boolean): ChangePage {
    const changed: MemberRow[] = []
    for (let row = this.newest; row !== undefined && row.changeNo > since; row = row.older) changed.push(row)
    const rows: WireRow[] = []
    let bytes = 0
    for (const row of changed.reverse()) {
      if (!filter(row)) continue
      bytes += estimateBytes(row)
      if (bytes > times.maxRowBytes && rows.length > 0) return { rows, upTo: row.changeNo - 1 }
      rows.push(this.encode(row, since))
    }
    return { rows, upTo: this.lastChangeNo }
  }

  /** Encodes a row for a peer that has all changes up to `since`; 0 includes the whole report, Infinity leaves the report out. */
  encode (row: MemberRow, since: number): WireRow {
    const base = [row.host, row.zone, row.incarnation, row.seq, stateRanks.indexOf(row.state), row.configVersion] as const
    if (row.report === undefined || row.reportNo <= since) return base
    if (row.usesNo > since) return [...base, row.report]
    const { uses, ...report } = row.report
    return [...base, report]
  }

  private toMember (row: MemberRow, nowMs: number): Member {
    const { host, zone, incarnation, seq, configVersion, report, linkDown } = row
    return {
      host,
      zone,
      incarnation,
      seq,
      state: this.findState(host, nowMs),
      configVersion,
      ...(report?.digest === undefined ? {} : { digest: report.digest }),
      ...(linkDown ? { linkDown } : {})
    }
  }

  /** Refutes a received suspicion of the own host. A higher incarnation was used by an earlier process with this host name. */
  private refute (incarnation: number, seq: number, state: MemberState): MergeResult {
    const { self } = this
    const isOutdated = incarnation < self.incarnation || (incarnation === self.incarnation && (seq < self.seq || state === MemberState.alive))
    if (isOutdated) return 'none'
    if (incarnation > self.incarnation) {
      self.incarnation = incarnation + 1
      if (self.report !== undefined) self.report = { ...self.report, incarnation: self.incarnation }
      self.seq = 0
    }
    self.seq = Math.max(self.seq, seq) + 1
    this.recordChange(self, '', true)
    self.usesNo = self.changeNo
    return 'urgent'
  }

  private mergeReport (row: MemberRow, report: MemberReport | undefined, peer: string): MergeResult {
    if (report === undefined || compareReports(report, row.report) <= 0) return 'none'
    const urgent = isUrgentDigestChange(row.report?.digest, report.digest) || JSON.stringify(row.report?.listing) !== JSON.stringify(report.listing)
    row.report = { ...report, uses: report.uses ?? row.report?.uses }
    this.recordChange(row, peer, true)
    if (report.uses !== undefined) row.usesNo = row.changeNo
    return urgent ? 'urgent' : 'changed'
  }

  /** Resets `serving` for a restarted agent, which has no digest from its entry process yet; the other fields are kept. */
  private clearServing (row: MemberRow, peer: string): void {
    if (row.report === undefined || row.report.digest?.serving !== true) return
    row.report = { ...row.report, digest: { ...row.report.digest, serving: false } }
    this.recordChange(row, peer, true)
  }

  private changeState (row: MemberRow, state: MemberState, nowMs: number): void {
    const before = row.state
    row.state = state
    if (state === MemberState.suspect) {
      if (before !== MemberState.suspect) row.deadAtMs = nowMs + times.deadMs
      this.suspects.add(row)
    } else {
      this.suspects.delete(row)
    }
    const wasRecorded = row.changeNo > 0
    if (wasRecorded && state === MemberState.alive && before !== MemberState.alive) this.dampFlap(row, nowMs)
  }

  private dampFlap (row: MemberRow, nowMs: number): void {
    row.flaps = nowMs - row.lastFlapMs > times.flapResetMs ? 1 : row.flaps + 1
    row.lastFlapMs = nowMs
    if (row.flaps < 2) return
    row.dampedUntilMs = nowMs + Math.min(times.maxFlapDampingMs, times.flapDampingMs * 2 ** (row.flaps - 2))
  }

  private insert (host: string, zone: string): MemberRow {
    const row: MemberRow = {
      host,
      zone,
      incarnation: 0,
      seq: 0,
      state: MemberState.dead,
      configVersion: 0,
      report: undefined,
      changeNo: 0,
      reportNo: 0,
      usesNo: 0,
      source: '',
      deadAtMs: Infinity,
      flaps: 0,
      lastFlapMs: -Infinity,
      dampedUntilMs: -Infinity,
      linkDown: false,
      older: undefined,
      newer: undefined
    }
    this.rows.set(host, row)
    return row
  }

  private recordChange (row: MemberRow, source: string, withReport: boolean = false): void {
    this.unlink(row)
    this.lastChangeNo += 1
    row.changeNo = this.lastChangeNo
    if (withReport) row.reportNo = row.changeNo
    row.source = source
    row.older = this.newest
    if (this.newest !== undefined) this.newest.newer = row
    this.newest = row
  }

  private unlink (row: MemberRow): void {
    if (row.older !== undefined) row.older.newer = row.newer
    if (row.newer !== undefined) row.newer.older = row.older
    if (this.newest === row) this.newest = row.older
    row.older = undefined
    row.newer = undefined
  }
}

/** Compares two versions of a row; the result is 0 or positive when `next` is at least as new as `row`. */
function compareRows (row: MemberRow, next: Pick<MemberRow, 'incarnation' | 'seq' | 'state'>): number {
  return next.incarnation - row.incarnation || next.seq - row.seq || stateRanks.indexOf(next.state) - stateRanks.indexOf(row.state)
}

function estimateBytes ({ report }: MemberRow): number {
  const digest = report?.digest
  if (digest === undefined) return 100
  return 300 + (report?.uses?.length ?? 0) + digest.loads.length * 80 + digest.leavingEndpoints.length * 40 + Object.keys(digest.drainInFlight).length * 40
}
