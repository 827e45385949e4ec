import type { z } from 'zod'
import type { ConfigDoc } from '../model/ConfigDoc.js'
import type { Contract } from '../model/Contract.js'
import { MemberState } from '../model/MemberState.js'
import type { View } from '../model/View.js'
import { Table } from '../common/Table.js'
import { AnnouncementSender } from './AnnouncementSender.js'
import { BorrowingPlan } from './BorrowingPlan.js'
import { combineAmounts } from './combineAmounts.js'
import { createAmount } from './createAmount.js'
import { createShareRow } from './createShareRow.js'
import { isEmptyAmount } from './isEmptyAmount.js'
import { isSettledRequest } from './isSettledRequest.js'
import { LendingPlan } from './LendingPlan.js'
import type { loanMessages } from './loanMessages.js'
import type { LoanPeer } from './LoanPeer.js'
import { recordSettledSeq } from './recordSettledSeq.js'
import { shareLimits } from './shareLimits.js'
import type { ShareRow } from './ShareRow.js'
import { StartupRecovery } from './StartupRecovery.js'
import { updateBackoff } from './updateBackoff.js'
import { updatePortions } from './updatePortions.js'

type LoanRequest = z.infer<typeof loanMessages.request>
type LoanStatement = z.infer<typeof loanMessages.statement>
type LoanGrant = z.infer<typeof loanMessages.grant>
type Announcement = z.infer<typeof loanMessages.announcement>

/** A loan request that the caller must send, and whose answer or loss it must report to the table. */
interface OutgoingLoanRequest {
  readonly lender: string
  readonly message: LoanRequest
}

/** The process that owns the table. */
interface ShareTableOptions {
  readonly host: string
  readonly incarnation: number
  readonly startedMs: number
}

const resources = ['rate', 'burst', 'short', 'long', 'upload'] as const

/** Decides on the caps and loans of all active customers at one host. The table sends no messages and reads no clock. */
export class ShareTable {
  private readonly rows = new Table<ShareRow>()
  private readonly contracts = new Map<string, Contract>()
  private readonly incarnations = new Map<string, number>()
  private readonly appliedVersions = new Map<string, number>()
  private readonly deadHosts = new Set<string>()
  private readonly announcements = new AnnouncementSender(this.rows)
  private readonly recovery: StartupRecovery
  private customersWithPriorCaps = new Set<string>()
  private doc: ConfigDoc | undefined
  private fullyAppliedVersion = 0
  private seq = 0
  /** True after a planned stop began; no more loans are then requested or granted. */
  private stopping = false

  constructor (private readonly options: ShareTableOptions) {
    this.recovery = new StartupRecovery(options.startedMs)
  }

  /** Highest configuration version whose portions no row of this host exceeds. */
  get appliedVersion (): number {
    return this.fullyAppliedVersion
  }

  get size (): number {
    return this.rows.size
  }

  /** End of the quarantine of permits, which outlasts that of the rate. */
  get quarantineEndsAtMs (): number {
    return this.recovery.permitQuarantineEndsAtMs
  }

  /** Applies a configuration; a document with a lower version or of another lineage is ignored. */
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

  /** Applies the view of the other hosts that the host's agent published. */
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

  /** Returns the row of a customer, created if needed, or undefined when the customer has no contract. */
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

  /** Drops idle rows, ends the recovery once no earlier request can still be running, and updates the applied version. */
  sweep (nowMs: number): void {
    if (nowMs - this.options.startedMs >= shareLimits.maxRequestMs) this.endRecovery()
    for (const row of this.rows) row.share.advance(nowMs)
    this.rows.deleteWhere(({ share, unansweredSinceMs: owed }) => owed.size === 0 && share.isIdle(nowMs))
    this.updateAppliedVersion()
  }

  /** Plans renewals, returns and new loans for one customer; at most one request per lender is pending. */
  planLoanRequests (row: ShareRow, nowMs: number): OutgoingLoanRequest[] {
    if (this.stopping) return []
    row.share.advance(nowMs)
    const loanDemand = combineAmounts(row.share.computeDemand(nowMs), row.share.computeOwnAmount(nowMs), (a, b) => Math.max(0, a - b))
    return new BorrowingPlan(row, this.deadHosts, nowMs).planRequests().map(({ lender, requested }) => {
      this.seq += 1
      const { seq } = this
      row.pending.set(lender, { seq, sentAtMs: nowMs, requested })
      if (!row.unansweredSinceMs.has(lender)) row.unansweredSinceMs.set(lender, nowMs)
      const held = row.share.borrowed.createStatementRows(lender)
      return { lender, message: { t: 'loan_request', customer: row.customer, seq, settledSeq: seq - 1, held, ask: requested, need: loanDemand } }
    })
  }

  /** True when no lender can be sent a request for more now and no request is pending. */
  isExhausted (row: ShareRow, nowMs: number): boolean {
    return this.stopping || new BorrowingPlan(row, this.deadHosts, nowMs).isExhausted()
  }

  /** Applies a lender's answer, and returns a statement to send when the answer reduced the loans from this lender. */
  applyGrant (row: ShareRow, lender: string, seq: number, grant: LoanGrant, nowMs: number): LoanStatement | undefined {
    const pending = row.pending.get(lender)
    if (pending?.seq !== seq) return undefined
    row.pending.delete(lender)
    row.unansweredSinceMs.delete(lender)
    const { share } = row
    share.advance(nowMs)
    const heldBefore = share.borrowed.sumByLender(lender)
    for (const renewed of grant.renewed) share.borrowed.renew(lender, renewed.seq, renewed, pending.sentAtMs)
    const isReduced = resources.some((resource) => share.borrowed.sumByLender(lender)[resource] < heldBefore[resource])
    const amount = combineAmounts(grant.amount, pending.requested, Math.min)
    share.borrow(lender, seq, amount, pending.sentAtMs, nowMs)
    updateBackoff(row, { lender, requested: pending.requested, granted: amount }, nowMs)
    return isReduced ? this.createStatement(row, lender) : undefined
  }

  /** Records that a request to a lender failed, and starts a backoff. */
  recordRequestFailure (row: ShareRow, lender: string, seq: number, nowMs: number): void {
    if (row.pending.get(lender)?.seq !== seq) return
    row.pending.delete(lender)
    const durationMs = shareLimits.unreachableBackoffMs
    row.backoffs.set(lender, { untilMs: nowMs + durationMs, durationMs, isUnreachable: true })
  }

  /** Answers a borrower's request, or returns undefined when the request is out of date or the customer unknown. */
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

  /** Reduces the loans of a borrower to its statement; false when the statement is out of date or the customer has no row. */
  applyStatement (statement: LoanStatement, peer: LoanPeer, nowMs: number): boolean {
    if (!this.isPeer(peer.name) || !this.recordIncarnation(peer)) return false
    const row = this.rows.get(statement.customer)
    if (row === undefined) return false
    recordSettledSeq(row, peer, statement.settledSeq)
    row.share.advance(nowMs)
    row.share.lent.applyStatement({ ...statement, borrower: peer.name, incarnation: peer.incarnation })
    return true
  }

  /** Records the long permits that another host holds from an earlier process of this host. */
  applyAnnouncement (announcement: Announcement, peer: LoanPeer, nowMs: number): boolean {
    if (announcement.to !== this.options.incarnation || !this.isPeer(peer.name) || !this.recordIncarnation(peer)) return false
    if (this.recovery.needsAnnouncementOf(peer.name)) this.restoreLoans(announcement, peer, nowMs)
    this.recovery.recordAnnouncement(peer.name, announcement)
    if (this.recovery.doAllHoldNothing(this.listPeers())) this.endQuarantine(nowMs)
    this.updateRecovery()
    return true
  }

  /** Returns the announcements that are due to other hosts, by host; the frames must be sent in order. */
  listAnnouncements (): Map<string, Announcement[]> {
    const due = [...this.incarnations].map(([host, incarnation]) => [host, this.announcements.listDue(host, incarnation)] as const)
    return new Map(due.filter(([, frames]) => frames.length > 0))
  }

  recordAnnouncementSent (host: string, incarnation: number, holdsNothing: boolean): void {
    if (this.incarnations.get(host) === incarnation) this.announcements.recordSent(host, { incarnation, holdsNothing })
  }

  /** Returns the borrowers to send a recall since requests are queued here; none within `recallIntervalMs` of the last recall. */
  planRecalls (row: ShareRow, nowMs: number): Set<string> {
    const { share } = row
    if (share.queued === 0 || share.lent.size === 0 || nowMs - row.lastRecallAtMs < shareLimits.recallIntervalMs) return new Set()
    row.lastRecallAtMs = nowMs
    return share.lent.listBorrowers()
  }

  /** Marks the loans from a lender as due for renewal; undefined when there are none. */
  markRenewalDue (customer: string, lender: string): ShareRow | undefined {
    const row = this.rows.get(customer)
    if (row === undefined || row.share.borrowed.listByLender(lender).length === 0) return undefined
    row.recalledBy.add(lender)
    return row
  }

  /** Ends borrowing and lending, returns all unused loans, and lists the statements to send, by lender. */
  planReturns (): Map<string, LoanStatement[]> {
    this.stopping = true
    const statements = new Map<string, LoanStatement[]>()
    for (const row of this.rows) {
      for (const loan of row.share.borrowed.listAll()) loan.amount = createAmount({ short: loan.usedShort, long: loan.usedLong })
      row.pending.clear()
      for (const lender of row.share.borrowed.listLenders()) {
        const lenderStatements = statements.get(lender) ?? []
        lenderStatements.push(this.createStatement(row, lender))
        statements.set(lender, lenderStatements)
      }
    }
    return statements
  }

  /** Creates the statement of the loans held from a lender; the lender takes back all others. */
  createStatement (row: ShareRow, lender: string): LoanStatement {
    const settledSeq = (row.pending.get(lender)?.seq ?? this.seq + 1) - 1
    return { t: 'loan_return', customer: row.customer, settledSeq, held: row.share.borrowed.createStatementRows(lender) }
  }

  private createRow (contract: Contract, nowMs: number): ShareRow {
    const { rateQuarantineEndsAtMs, permitQuarantineEndsAtMs, isRecovering } = this.recovery
    const row = createShareRow(contract, { rateQuarantineEndsAtMs, permitQuarantineEndsAtMs, nowMs: this.options.startedMs })
    const { share } = row
    share.recovering = isRecovering
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
    const { doc, contracts, appliedVersions, options: { host } } = this
    const { customer } = row
    if (doc === undefined) return
    updatePortions(row, { doc, contract: contracts.get(customer), host, hasPriorCap: this.customersWithPriorCaps.has(customer), appliedVersions })
  }

  private updateAppliedVersion (): void {
    if (this.doc === undefined || this.fullyAppliedVersion === this.doc.version) return
    for (const { share } of this.rows) if (share.isOverPortion()) return
    this.fullyAppliedVersion = this.doc.version
  }

  /** Records the incarnation of a host's process; false when the message came from an earlier incarnation. */
  private recordIncarnation (peer: LoanPeer): boolean {
    const recorded = this.incarnations.get(peer.name) ?? 0
    if (peer.incarnation < recorded) return false
    if (peer.incarnation === recorded) return true
    this.incarnations.set(peer.name, peer.incarnation)
    for (const row of this.rows) {
      row.share.lent.dropOlderIncarnations(peer.name, peer.incarnation)
      row.share.borrowed.releaseUnused(peer.name)
      row.pending.delete(peer.name)
    }
    return true
  }

  private isPeer (host: string): boolean {
    return this.listPeers().includes(host)
  }

  /** Lists the other hosts that are configured now, or that were configured for a prior cap that may still be in use. */
  private listPeers (): string[] {
    if (this.doc === undefined) return []
    const names = new Set(this.doc.hosts.map(({ name }) => name))
    for (const prior of this.doc.priorCaps) for (const name of prior.hosts) names.add(name)
    names.delete(this.options.host)
    return [...names]
  }

  /** Ends the quarantine. No loan of an earlier process is in use anywhere, so the portions are available at once. */
  private endQuarantine (nowMs: number): void {
    this.recovery.endQuarantine(nowMs)
    for (const { share } of this.rows) share.endQuarantine(nowMs)
  }

  private updateRecovery (): void {
    if (this.recovery.haveAllAnnounced(this.listPeers())) this.endRecovery()
  }

  private endRecovery (): void {
    if (!this.recovery.isRecovering) return
    this.recovery.isRecovering = false
    for (const { share } of this.rows) share.recovering = false
  }

  private restoreLoans (announcement: Announcement, peer: LoanPeer, nowMs: number): void {
    for (const { customer, seq, long } of announcement.rows) {
      const row = this.open(customer, nowMs)
      if (row === undefined || row.share.lent.getAmount(peer.name, seq) !== undefined) continue
      row.share.lent.grant(peer.name, peer.incarnation, seq, createAmount({ long }), nowMs)
    }
  }
}
