import type { z } from 'zod'
import type { ConfigDoc } from '../model/ConfigDoc.js'
import type { Contract } from '../model/Contract.js'
import { MemberState } from '../model/MemberState.js'
import type { View } from '../model/View.js'
import { Table } from '../common/Table.js'
import { BorrowingPlan } from './BorrowingPlan.js'
import { combineAmounts } from './combineAmounts.js'
import { computePortions } from './computePortions.js'
import { computeUsablePortion } from './computeUsablePortion.js'
import { createAmount } from './createAmount.js'
import { createShareRow } from './createShareRow.js'
import { emptyPortion } from './emptyPortion.js'
import { isEmptyAmount } from './isEmptyAmount.js'
import { isSettledRequest } from './isSettledRequest.js'
import { LendingPlan } from './LendingPlan.js'
import type { loanMessages } from './loanMessages.js'
import type { LoanPeer } from './LoanPeer.js'
import { recordSettledSeq } from './recordSettledSeq.js'
import { rankLenders } from './rankLenders.js'
import { shareLimits } from './shareLimits.js'
import type { ShareRow } from './ShareRow.js'
import { updateBackoff } from './updateBackoff.js'

type LoanRequest = z.infer<typeof loanMessages.request>
type LoanStatement = z.infer<typeof loanMessages.statement>
type LoanGrant = z.infer<typeof loanMessages.grant>
type Announcement = z.infer<typeof loanMessages.announcement>

/** A message that the caller must send; a request must be answered with `applyGrant` or `applyLoss`. */
interface OutgoingLoanRequest {
  readonly lender: string
  readonly message: LoanRequest
}

/** Who the table belongs to. */
interface ShareTableOptions {
  readonly host: string
  readonly incarnation: number
  readonly startedMs: number
}

const resources = ['rate', 'burst', 'short', 'long', 'upload'] as const

/** Policy of caps and loans of one host over all customers with activity. It sends nothing and reads no clock. */
export class ShareTable {
  private readonly rows = new Table<ShareRow>()
  private readonly contracts = new Map<string, Contract>()
  private readonly incarnations = new Map<string, number>()
  private readonly appliedVersions = new Map<string, number>()
  private readonly deadHosts = new Set<string>()
  private readonly receivedAnnouncements = new Set<string>()
  /** Hosts that announced that they hold nothing from an earlier process of this host. */
  private readonly hostsHoldingNothing = new Set<string>()
  private readonly sentAnnouncements = new Map<string, { readonly incarnation: number, readonly holdsNothing: boolean }>()
  private customersWithPriorCaps = new Set<string>()
  private doc: ConfigDoc | undefined
  private fullyAppliedVersion = 0
  private seq = 0
  private recovering = true
  private rateQuarantineEndsAtMs: number
  private permitQuarantineEndsAtMs: number
  /** Set by a planned stop: nothing more is borrowed or lent. */
  private stopping = false

  constructor (private readonly options: ShareTableOptions) {
    this.rateQuarantineEndsAtMs = options.startedMs + shareLimits.rateQuarantineMs
    this.permitQuarantineEndsAtMs = options.startedMs + shareLimits.permitQuarantineMs
  }

  /** Highest version that is in force with nothing left in use beyond its portions. */
  get appliedVersion (): number {
    return this.fullyAppliedVersion
  }

  get size (): number {
    return this.rows.size
  }

  /** End of the time in which the host uses neither its rate nor its permits. */
  get quarantineEndsAtMs (): number {
    return this.permitQuarantineEndsAtMs
  }

  /** Puts a configuration in force; a document with a lower version or of another lineage changes nothing. */
  setConfig (doc: ConfigDoc, nowMs: number): boolean {
    if (this.doc !== undefined && (doc.version < this.doc.version || doc.lineage !== this.doc.lineage)) return false
    this.doc = doc
    this.customersWithPriorCaps = new Set(doc.priorCaps.map(({ customer }) => customer))
    this.contracts.clear()
    for (const contract of doc.contracts) this.contracts.set(contract.customer, contract)
    for (const row of this.rows) this.updateRow(row, nowMs)
    this.updateRecovery()
    this.updateAppliedVersion()
    return true
  }

  /** Takes over what the host's agent knows of the other hosts. */
  setView (view: View, nowMs: number): void {
    if (view.isFirstStart) {
      this.endQuarantine(nowMs)
      this.endRecovery()
    }
    this.deadHosts.clear()
    this.appliedVersions.clear()
    for (const { host, state, digest } of view.members) {
      if (host === this.options.host) continue
      if (state === MemberState.dead) this.deadHosts.add(host)
      if (digest === undefined) continue
      this.appliedVersions.set(host, digest.appliedVersion)
      this.recordIncarnation({ name: host, incarnation: digest.entryIncarnation })
    }
    for (const customer of this.customersWithPriorCaps) {
      const row = this.rows.get(customer)
      if (row !== undefined) this.updateRow(row, nowMs)
    }
  }

  /** Returns the row of a customer, or undefined when no contract names it. */
  open (customer: string, nowMs: number): ShareRow | undefined {
    const row = this.rows.get(customer)
    if (row !== undefined) return this.contracts.has(customer) ? row : undefined
    const contract = this.contracts.get(customer)
    return contract === undefined ? undefined : this.rows.set(customer, this.createRow(contract, nowMs))
  }

  get (customer: string): ShareRow | undefined {
    return this.rows.get(customer)
  }

  list (): Iterable<ShareRow> {
    return this.rows
  }

  /** Drops rows that have been idle, ends the recovery when its time is over, and settles the version. */
  sweep (nowMs: number): void {
    if (nowMs - this.options.startedMs >= shareLimits.maxRequestMs) this.endRecovery()
    for (const row of this.rows) row.share.advance(nowMs)
    this.rows.deleteWhere(({ share, owed }) => owed.size === 0 && share.isIdle(nowMs))
    this.updateAppliedVersion()
  }

  /** Plans renewals, returns and new loans for one customer; at most one request per lender is open. */
  planOrders (row: ShareRow, nowMs: number): OutgoingLoanRequest[] {
    if (this.stopping) return []
    row.share.advance(nowMs)
    const need = combineAmounts(row.share.computeDemand(nowMs), row.share.computeOwn(nowMs), (a, b) => Math.max(0, a - b))
    return new BorrowingPlan(row, this.deadHosts, nowMs).planRequests().map(({ lender, requested: ask }) => {
      const seq = this.nextSeq()
      row.pending.set(lender, { seq, sentAtMs: nowMs, requested: ask })
      if (!row.owed.has(lender)) row.owed.set(lender, nowMs)
      const held = row.share.held.createStatementRows(lender)
      return { lender, message: { t: 'loan_request', customer: row.customer, seq, settledSeq: seq - 1, held, ask, need } }
    })
  }

  /** True when no lender can be asked for more now and no answer is awaited. */
  isExhausted (row: ShareRow, nowMs: number): boolean {
    return this.stopping || new BorrowingPlan(row, this.deadHosts, nowMs).isExhausted()
  }

  /** Applies a lender's answer; returns a statement to send when the lender gave less than was held. */
  applyGrant (row: ShareRow, lender: string, seq: number, grant: LoanGrant, nowMs: number): LoanStatement | undefined {
    const pending = row.pending.get(lender)
    if (pending?.seq !== seq) return undefined
    row.pending.delete(lender)
    row.owed.delete(lender)
    const { share } = row
    share.advance(nowMs)
    const before = share.held.sumByLender(lender)
    for (const renewed of grant.renewed) share.held.renew(lender, renewed.seq, renewed, pending.sentAtMs)
    const cut = resources.some((part) => share.held.sumByLender(lender)[part] < before[part])
    const amount = combineAmounts(grant.amount, pending.requested, Math.min)
    share.borrow(lender, seq, amount, pending.sentAtMs, nowMs)
    updateBackoff(row, { lender, requested: pending.requested, granted: amount }, nowMs)
    return cut ? this.createStatement(row, lender) : undefined
  }

  /** Notes that a request to a lender failed. */
  applyLoss (row: ShareRow, lender: string, seq: number, nowMs: number): void {
    if (row.pending.get(lender)?.seq !== seq) return
    row.pending.delete(lender)
    const lengthMs = shareLimits.unreachableBackoffMs
    row.pauses.set(lender, { untilMs: nowMs + lengthMs, durationMs: lengthMs, isUnreachable: true })
  }

  /** Answers a borrower's request; undefined when it is out of date or the customer is unknown. */
  lend (request: LoanRequest, peer: LoanPeer, nowMs: number): LoanGrant | undefined {
    if (!this.isPeer(peer.name) || !this.recordIncarnation(peer)) return undefined
    const row = this.open(request.customer, nowMs)
    if (row === undefined || isSettledRequest(row, peer, request.seq)) return undefined
    recordSettledSeq(row, peer, request.settledSeq)
    const { share } = row
    share.advance(nowMs)
    share.lent.applyStatement({ ...request, borrower: peer.name, incarnation: peer.incarnation })
    const plan = new LendingPlan(share, peer.name, request.need, nowMs)
    const targets = plan.limitRenewals(request.held)
    const renewed = request.held.map(({ seq }, index) => ({ seq, ...share.lent.renew(peer.name, seq, targets[index]!, nowMs) }))
    const amount = this.stopping ? createAmount() : plan.limitGrant(request.ask)
    if (!isEmptyAmount(amount)) share.lend(peer.name, peer.incarnation, request.seq, amount, nowMs)
    const unmet = combineAmounts(request.ask, amount, (a, b) => Math.max(0, a - b))
    share.borrowerDemands.set(peer.name, { demand: request.need, unmet, atMs: nowMs })
    return { t: 'loan_grant', amount, renewed }
  }

  /** Takes back what a borrower no longer holds. */
  takeBack (statement: LoanStatement, peer: LoanPeer, nowMs: number): boolean {
    if (!this.isPeer(peer.name) || !this.recordIncarnation(peer)) return false
    const row = this.rows.get(statement.customer)
    if (row === undefined) return false
    recordSettledSeq(row, peer, statement.settledSeq)
    row.share.advance(nowMs)
    row.share.lent.applyStatement({ ...statement, borrower: peer.name, incarnation: peer.incarnation })
    return true
  }

  /** Records long permits that a host holds from an earlier process of this host. */
  applyAnnouncement (announcement: Announcement, peer: LoanPeer, nowMs: number): boolean {
    if (announcement.to !== this.options.incarnation || !this.isPeer(peer.name) || !this.recordIncarnation(peer)) return false
    if (this.recovering && !this.receivedAnnouncements.has(peer.name)) this.restoreLoans(announcement, peer, nowMs)
    if (announcement.complete) this.receivedAnnouncements.add(peer.name)
    if (announcement.complete && announcement.holdsNothing) this.hostsHoldingNothing.add(peer.name)
    if (this.listPeers().every((host) => this.hostsHoldingNothing.has(host))) this.endQuarantine(nowMs)
    this.updateRecovery()
    return true
  }

  /**
   * Announcements that are still owed to other hosts' processes, by host; send the frames in order. A host that held
   * something announces again when it holds nothing any more, which ends the quarantine of the other.
   */
  listAnnouncements (): Map<string, Announcement[]> {
    const owed = new Map<string, Announcement[]>()
    for (const [host, incarnation] of this.incarnations) {
      const known = this.sentAnnouncements.get(host)
      const isOwed = known?.incarnation !== incarnation || (!known.holdsNothing && this.holdsNothing(host))
      if (isOwed) owed.set(host, this.createAnnouncements(host, incarnation))
    }
    return owed
  }

  recordAnnouncementSent (host: string, incarnation: number, holdsNothing: boolean): void {
    if (this.incarnations.get(host) === incarnation) this.sentAnnouncements.set(host, { incarnation, holdsNothing })
  }

  /** Borrowers that should renew now because this host needs its own portion; none within a pause after the last time. */
  planRecalls (row: ShareRow, nowMs: number): Set<string> {
    const { share } = row
    if (share.queued === 0 || share.lent.size === 0 || nowMs - row.lastRecallAtMs < shareLimits.recallIntervalMs) return new Set()
    row.lastRecallAtMs = nowMs
    return share.lent.listBorrowers()
  }

  /** Makes the next plan renew what is held from a lender. */
  markRenewalDue (customer: string, lender: string): ShareRow | undefined {
    const row = this.rows.get(customer)
    if (row === undefined || row.share.held.listByLender(lender).length === 0) return undefined
    row.recalledBy.add(lender)
    return row
  }

  /** Gives up everything that is free, and plans the statements that tell the lenders. */
  planReturns (): Map<string, LoanStatement[]> {
    this.stopping = true
    const statements = new Map<string, LoanStatement[]>()
    for (const row of this.rows) {
      for (const loan of row.share.held.listAll()) loan.amount = createAmount({ short: loan.usedShort, long: loan.usedLong })
      row.pending.clear()
      for (const lender of row.share.held.listLenders()) {
        const list = statements.get(lender) ?? []
        list.push(this.createStatement(row, lender))
        statements.set(lender, list)
      }
    }
    return statements
  }

  /** States what is held from a lender; everything else is given back. */
  createStatement (row: ShareRow, lender: string): LoanStatement {
    const settledSeq = (row.pending.get(lender)?.seq ?? this.seq + 1) - 1
    return { t: 'loan_return', customer: row.customer, settledSeq, held: row.share.held.createStatementRows(lender) }
  }

  private createRow (contract: Contract, nowMs: number): ShareRow {
    const row = createShareRow(contract, {
      rateQuarantineEndsAtMs: this.rateQuarantineEndsAtMs,
      permitQuarantineEndsAtMs: this.permitQuarantineEndsAtMs,
      nowMs: this.options.startedMs
    })
    const { share } = row
    share.recovering = this.recovering
    this.updatePortions(row)
    share.lastUsedAtMs = nowMs
    share.advance(nowMs)
    return row
  }

  private updateRow (row: ShareRow, nowMs: number): void {
    row.share.advance(nowMs)
    this.updatePortions(row)
  }

  private updatePortions (row: ShareRow): void {
    const { doc, options: { host } } = this
    if (doc === undefined) return
    const contract = this.contracts.get(row.customer)
    const { share } = row
    if (contract === undefined) {
      share.portion = share.usable = emptyPortion
      row.lenders = new Map()
      return
    }
    const portions = computePortions(doc, contract)
    share.contract = contract
    share.portion = portions.get(host) ?? emptyPortion
    share.usable = this.customersWithPriorCaps.has(row.customer)
      ? computeUsablePortion({ doc, contract, host, appliedVersions: this.appliedVersions })
      : share.portion
    row.lenders = new Map(rankLenders(doc, host, [...portions.keys()]).map((name) => {
      const { rate, burst, permits, upload } = portions.get(name) ?? emptyPortion
      return [name, { rate, burst, short: permits, long: Math.floor(permits / 2), upload }]
    }))
  }

  private updateAppliedVersion (): void {
    if (this.doc === undefined || this.fullyAppliedVersion === this.doc.version) return
    for (const { share } of this.rows) if (share.isOverPortion()) return
    this.fullyAppliedVersion = this.doc.version
  }

  /** Notes the process that a host runs now; false when the message came from an earlier one. */
  private recordIncarnation (peer: LoanPeer): boolean {
    const known = this.incarnations.get(peer.name) ?? 0
    if (peer.incarnation < known) return false
    if (peer.incarnation === known) return true
    this.incarnations.set(peer.name, peer.incarnation)
    for (const row of this.rows) {
      row.share.lent.dropOlderIncarnations(peer.name, peer.incarnation)
      row.share.held.releaseUnused(peer.name)
      row.pending.delete(peer.name)
    }
    return true
  }

  private isPeer (host: string): boolean {
    return this.listPeers().includes(host)
  }

  /** Other hosts that are configured now, or were under a cap that may still be in use. */
  private listPeers (): string[] {
    if (this.doc === undefined) return []
    const names = new Set(this.doc.hosts.map(({ name }) => name))
    for (const prior of this.doc.priorCaps) for (const name of prior.hosts) names.add(name)
    names.delete(this.options.host)
    return [...names]
  }

  /** Nothing that an earlier process lent is in use anywhere, so the portions are free at once. */
  private endQuarantine (nowMs: number): void {
    this.rateQuarantineEndsAtMs = Math.min(this.rateQuarantineEndsAtMs, nowMs)
    this.permitQuarantineEndsAtMs = Math.min(this.permitQuarantineEndsAtMs, nowMs)
    for (const { share } of this.rows) share.endQuarantine(nowMs)
  }

  private updateRecovery (): void {
    if (this.listPeers().every((host) => this.receivedAnnouncements.has(host))) this.endRecovery()
  }

  private endRecovery (): void {
    if (!this.recovering) return
    this.recovering = false
    for (const { share } of this.rows) share.recovering = false
  }

  private restoreLoans (announcement: Announcement, peer: LoanPeer, nowMs: number): void {
    for (const { customer, seq, long } of announcement.rows) {
      const row = this.open(customer, nowMs)
      if (row === undefined || row.share.lent.getAmount(peer.name, seq) !== undefined) continue
      row.share.lent.grant(peer.name, peer.incarnation, seq, createAmount({ long }), nowMs)
    }
  }

  /** True when nothing is held from a host and no answer of it is awaited. */
  private holdsNothing (host: string): boolean {
    return [...this.rows].every((row) => row.share.held.listByLender(host).length === 0 && !row.pending.has(host))
  }

  private createAnnouncements (host: string, to: number): Announcement[] {
    const rows = [...this.rows].flatMap((row) => row.share.held.createStatementRows(host)
      .filter(({ long }) => long > 0)
      .map(({ seq, long }) => ({ customer: row.customer, seq, long })))
    const holdsNothing = this.holdsNothing(host)
    const frames: Announcement[] = []
    for (let start = 0; start === 0 || start < rows.length; start += shareLimits.maxAnnouncementRows) {
      const complete = start + shareLimits.maxAnnouncementRows >= rows.length
      frames.push({ t: 'loan_return', to, rows: rows.slice(start, start + shareLimits.maxAnnouncementRows), complete, holdsNothing })
    }
    return frames
  }

  private nextSeq (): number {
    this.seq += 1
    return this.seq
  }
}
