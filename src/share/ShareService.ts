import { err, ok, type Result } from 'neverthrow'
import type { Clock } from '../common/Clock.js'
import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'
import type { PeerMessenger } from '../common/PeerMessenger.js'
import type { ConfigDoc } from '../model/ConfigDoc.js'
import type { CustomerUsage } from '../model/CustomerUsage.js'
import type { View } from '../model/View.js'
import type { Message } from '../wire/Message.js'
import type { PeerIdentity } from '../wire/PeerIdentity.js'
import { AdmissionController } from './AdmissionController.js'
import { AdmissionQueue } from './AdmissionQueue.js'
import type { AdmissionRequest } from './AdmissionRequest.js'
import { createLimitFailure } from './createLimitFailure.js'
import { HeldPermit } from './HeldPermit.js'
import { loanMessages } from './loanMessages.js'
import type { Permit } from './Permit.js'
import type { PermitSource } from './PermitSource.js'
import { shareLimits } from './shareLimits.js'
import type { ShareRow } from './ShareRow.js'
import { ShareTable } from './ShareTable.js'

/** Identity and dependencies of the service. */
interface ShareServiceOptions {
  /** Name of the own host. */
  readonly host: string
  /** Incarnation of the own process. */
  readonly incarnation: number
  readonly clock: Clock
  readonly messenger: PeerMessenger
}

/** A request in a customer's queue. */
interface QueuedRequest {
  readonly deadlineAtMs: number
  /** Time at which the request is refused when it is still in the queue. */
  readonly waitUntilMs: number
  readonly needsLong: boolean
  readonly finish: (result: Result<Permit, Failure>) => void
}

/**
 * Keeps every customer within its cap at this host, and exchanges loans of the caps with other hosts.
 * `tick` must be called about every 10 ms.
 */
export class ShareService extends AdmissionController {
  private readonly table: ShareTable
  private readonly clock: Clock
  private readonly queues = new Map<string, AdmissionQueue<QueuedRequest>>()
  /** Customers that ticks serve. */
  private readonly active = new Set<string>()
  /** Hosts to which announcement frames are being sent. */
  private readonly announcing = new Set<string>()
  private lastSweepAtMs: number
  private stopping = false

  constructor (private readonly options: ShareServiceOptions) {
    super()
    this.clock = options.clock
    this.lastSweepAtMs = this.clock.nowMs()
    this.table = new ShareTable({ host: options.host, incarnation: options.incarnation, startedMs: this.lastSweepAtMs })
  }

  /** Version for the digest: the version in force, once no loan or request exceeds its portions. */
  get appliedVersion (): number {
    return this.table.appliedVersion
  }

  setConfig (doc: ConfigDoc): void {
    this.table.setConfig(doc, this.clock.nowMs())
  }

  setView (view: View): void {
    this.table.setView(view, this.clock.nowMs())
    this.sendAnnouncements()
  }

  override async admit (request: AdmissionRequest): Promise<Result<Permit, Failure>> {
    const nowMs = this.clock.nowMs()
    const row = this.table.open(request.customer, nowMs)
    if (row === undefined) return err(createFailure('unknownItem', { message: `no contract names customer "${request.customer}"` }))
    if (request.deadlineAtMs <= nowMs) return err(createFailure('deadlineExceeded'))
    row.share.arrivals.add(nowMs)
    row.share.lastUsedAtMs = nowMs
    this.active.add(row.customer)
    if (row.share.queued === 0) {
      const sourceOrLimit = row.share.tryAdmit(nowMs, request.deadlineAtMs)
      if (typeof sourceOrLimit !== 'string') return ok(this.createPermit(row, sourceOrLimit))
      row.share.blockingLimit = sourceOrLimit
    }
    const refusal = this.findRefusal(row, request, nowMs)
    if (refusal !== undefined) return err(refusal)
    return await this.enqueue(row, request, nowMs)
  }

  override takeRetry (customer: string): boolean {
    const nowMs = this.clock.nowMs()
    return this.table.open(customer, nowMs)?.share.retries.take(nowMs) ?? false
  }

  override listUses (): CustomerUsage[] {
    const nowMs = this.clock.nowMs()
    const uses: CustomerUsage[] = []
    for (const { customer, share } of this.table.list()) {
      const rate = share.admissions.estimate(nowMs)
      const { inFlight } = share
      if (rate === 0 && inFlight === 0) continue
      uses.push({ customer, inFlight, rate, rateHeld: share.computeEffectiveRate(nowMs), permitsHeld: share.countEffectivePermits(nowMs) })
    }
    return uses.sort((a, b) => b.rate - a.rate || b.inFlight - a.inFlight).slice(0, shareLimits.maxReportedUses)
  }

  /** Answers a loan message from another host's entry process; an invalid message is refused. */
  handleMessage (message: Message, peer: PeerIdentity): Message | undefined {
    const nowMs = this.clock.nowMs()
    const request = loanMessages.request.safeParse(message)
    if (request.success) {
      const grant = this.table.lend(request.data, peer, nowMs)
      this.active.add(request.data.customer)
      return grant === undefined ? createRefusal('the loan request is out of date or names an unknown customer') : { ...grant }
    }
    const announcement = loanMessages.announcement.safeParse(message)
    if (announcement.success) {
      const isApplied = this.table.applyAnnouncement(announcement.data, peer, nowMs)
      return isApplied ? { t: 'loan_noted' } : createRefusal('the announcement is out of date or addressed to another process')
    }
    const recall = loanMessages.recall.safeParse(message)
    if (recall.success) return this.applyRecall(recall.data.recall, peer)
    const statement = loanMessages.statement.safeParse(message)
    if (!statement.success) return createRefusal('the message is not a valid loan message')
    if (this.table.applyStatement(statement.data, peer, nowMs)) this.serve(statement.data.customer, nowMs)
    return { t: 'loan_noted' }
  }

  /** Serves queues, sends loan requests that are due, and drops idle rows. */
  tick (nowMs: number): void {
    for (const customer of this.active) {
      const row = this.table.get(customer)
      if (row === undefined || this.isInactive(row, nowMs)) this.active.delete(customer)
      else if (nowMs - row.lastCheckAtMs >= getCheckIntervalMs(row)) {
        row.lastCheckAtMs = nowMs
        this.serve(customer, nowMs)
      }
    }
    if (nowMs - this.lastSweepAtMs < shareLimits.sweepIntervalMs) return
    this.lastSweepAtMs = nowMs
    this.table.sweep(nowMs)
    this.sendAnnouncements()
  }

  /** Returns unused loans and stops borrowing; requests in flight keep their permits. */
  async prepareStop (): Promise<void> {
    this.stopping = true
    const { messenger } = this.options
    const requests: Promise<unknown>[] = []
    for (const [lender, statements] of this.table.planReturns()) {
      for (const statement of statements) requests.push(messenger.request(lender, statement, shareLimits.loanRequestTimeoutMs))
    }
    await Promise.allSettled(requests)
  }

  /** Number of customers with a row, for metrics and tests. */
  get rowCount (): number {
    return this.table.size
  }

  private findRefusal (row: ShareRow, request: AdmissionRequest, nowMs: number): Failure | undefined {
    const { share } = row
    const limit = share.blockingLimit ?? 'rate'
    const exhausted = this.table.isExhausted(row, nowMs)
    const rate = Math.max(0.001, exhausted ? share.computeEffectiveRate(nowMs) : share.contract.rate)
    const waitMs = share.estimateWaitMs(rate)
    if (share.queued >= Math.max(1, share.contract.concurrency)) {
      return createLimitFailure({ limit, customer: row.customer, contract: share.contract, isQueueFull: true, waitMs })
    }
    const waitEndMs = computeWaitEndMs(request, nowMs)
    if (limit !== 'rate' || !exhausted || nowMs + waitMs <= waitEndMs) return undefined
    return createLimitFailure({ limit, customer: row.customer, contract: share.contract, isQueueFull: false, waitMs })
  }

  /** Reads the signal only here, because callers create it on first use and most requests are never queued. */
  private async enqueue (row: ShareRow, request: AdmissionRequest, nowMs: number): Promise<Result<Permit, Failure>> {
    if (request.signal.aborted) return err(createFailure('deadlineExceeded', { message: 'the caller disconnected' }))
    return await new Promise((resolve) => {
      const queue = this.queues.get(row.customer) ?? new AdmissionQueue<QueuedRequest>()
      this.queues.set(row.customer, queue)
      const abandon = (): void => {
        if (!queue.delete(queuedRequest)) return
        this.updateQueueCounts(row, queue)
        resolve(err(createFailure('deadlineExceeded', { message: 'the caller disconnected' })))
      }
      const queuedRequest: QueuedRequest = {
        deadlineAtMs: request.deadlineAtMs,
        waitUntilMs: computeWaitEndMs(request, nowMs),
        needsLong: request.deadlineAtMs - nowMs > shareLimits.shortRequestMs,
        finish: (result) => {
          request.signal.removeEventListener('abort', abandon)
          resolve(result)
        }
      }
      request.signal.addEventListener('abort', abandon, { once: true })
      queue.add(queuedRequest)
      this.updateQueueCounts(row, queue)
      this.sendLoanRequests(row, nowMs)
    })
  }

  /** Admits queued requests, refuses those that waited too long, and sends loan requests and recalls that are due. */
  private serve (customer: string, nowMs: number): void {
    const row = this.table.get(customer)
    if (row === undefined) return
    this.serveQueue(row, nowMs)
    this.sendLoanRequests(row, nowMs)
    for (const borrower of this.table.planRecalls(row, nowMs)) {
      this.options.messenger.notify(borrower, { t: 'loan_return', recall: customer })
    }
  }

  private serveQueue (row: ShareRow, nowMs: number): void {
    const queue = this.queues.get(row.customer)
    if (queue === undefined) return
    let isBlocked = false
    let isShortBlocked = false
    for (const queuedRequest of queue.list()) {
      if (queuedRequest.waitUntilMs <= nowMs) {
        this.refuseQueued(row, queue, queuedRequest, nowMs)
        continue
      }
      if (isBlocked || (isShortBlocked && !queuedRequest.needsLong)) continue
      const sourceOrLimit = row.share.tryAdmit(nowMs, queuedRequest.deadlineAtMs)
      if (typeof sourceOrLimit !== 'string') {
        queue.delete(queuedRequest)
        queuedRequest.finish(ok(this.createPermit(row, sourceOrLimit)))
        continue
      }
      row.share.blockingLimit = sourceOrLimit
      isShortBlocked ||= !queuedRequest.needsLong
      isBlocked ||= sourceOrLimit === 'rate'
    }
    this.updateQueueCounts(row, queue)
    if (queue.length === 0) this.queues.delete(row.customer)
  }

  private refuseQueued (row: ShareRow, queue: AdmissionQueue<QueuedRequest>, queuedRequest: QueuedRequest, nowMs: number): void {
    queue.delete(queuedRequest)
    const { share } = row
    const limit = share.blockingLimit ?? 'rate'
    const waitMs = limit === 'quarantine'
      ? this.table.quarantineEndsAtMs - nowMs
      : (queue.length + 1) * 1_000 / Math.max(0.1, share.computeEffectiveRate(nowMs))
    queuedRequest.finish(err(createLimitFailure({ limit, customer: row.customer, contract: share.contract, isQueueFull: false, waitMs })))
  }

  private updateQueueCounts (row: ShareRow, queue: AdmissionQueue<QueuedRequest>): void {
    row.share.queued = queue.length
    row.share.queuedLong = queue.length === 0 ? 0 : queue.list().filter(({ needsLong }) => needsLong).length
  }

  private sendLoanRequests (row: ShareRow, nowMs: number): void {
    for (const { lender, message } of this.table.planLoanRequests(row, nowMs)) this.sendLoanRequest(row, lender, message)
  }

  private async sendLoanRequest (row: ShareRow, lender: string, message: Message & { readonly seq: number }): Promise<void> {
    const answer = await this.options.messenger.request(lender, message, shareLimits.loanRequestTimeoutMs)
    const nowMs = this.clock.nowMs()
    const grant = loanMessages.grant.safeParse(answer.unwrapOr(undefined))
    if (!grant.success) {
      this.table.recordRequestFailure(row, lender, message.seq, nowMs)
      return
    }
    const statement = this.table.applyGrant(row, lender, message.seq, grant.data, nowMs)
    if (statement !== undefined) this.options.messenger.notify(lender, statement)
    if (!this.stopping) this.serve(row.customer, nowMs)
  }

  private applyRecall (customer: string, peer: PeerIdentity): Message {
    const row = this.table.markRenewalDue(customer, peer.name)
    if (row !== undefined) this.sendLoanRequests(row, this.clock.nowMs())
    return { t: 'loan_noted' }
  }

  private sendAnnouncements (): void {
    for (const [host, frames] of this.table.listAnnouncements()) {
      if (!this.announcing.has(host)) this.announce(host, frames)
    }
  }

  /** Sends the frames in order, so that `complete` arrives after all rows. The next sweep retries after a failure. */
  private async announce (host: string, frames: readonly (Message & { readonly to: number, readonly holdsNothing: boolean })[]): Promise<void> {
    this.announcing.add(host)
    let incarnation = 0
    let isAcknowledged = true
    const holdsNothing = frames.every((frame) => frame.holdsNothing)
    for (const frame of frames) {
      const answer = await this.options.messenger.request(host, frame, shareLimits.loanRequestTimeoutMs)
      isAcknowledged &&= answer.isOk() && answer.value.t === 'loan_noted'
      if (!isAcknowledged) break
      incarnation = frame.to
    }
    this.announcing.delete(host)
    if (isAcknowledged) this.table.recordAnnouncementSent(host, incarnation, holdsNothing)
  }

  private createPermit (row: ShareRow, source: PermitSource): Permit {
    const onRelease = (): void => this.onRelease(row)
    return new HeldPermit({ share: row.share, source, clock: this.clock, onRelease })
  }

  private onRelease (row: ShareRow): void {
    if (row.share.queued > 0) this.serveQueue(row, this.clock.nowMs())
  }

  /** True when ticks need not serve the row any more. */
  private isInactive (row: ShareRow, nowMs: number): boolean {
    const { share } = row
    return share.queued === 0 && share.borrowed.size === 0 && row.unansweredSinceMs.size === 0 &&
      nowMs - share.lastUsedAtMs > shareLimits.renewAfterMs
  }
}

/** Returns the time in ms between two ticks that serve the row. */
function getCheckIntervalMs ({ share, unansweredSinceMs: owed }: ShareRow): number {
  if (share.queued > 0) return 0
  return share.borrowed.size > 0 || owed.size > 0 ? shareLimits.loanCheckIntervalMs : shareLimits.demandCheckIntervalMs
}

function computeWaitEndMs (request: AdmissionRequest, nowMs: number): number {
  const remainingMs = request.deadlineAtMs - nowMs
  return nowMs + Math.min(shareLimits.maxQueueMs, remainingMs * shareLimits.queueFraction)
}

function createRefusal (message: string): Message {
  return { t: 'refused', message }
}
