import { err, ok, type Result } from 'neverthrow'
import type { Clock } from '../common/Clock.js'
import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'
import type { PeerMessenger } from '../common/PeerMessenger.js'
import type { ConfigDoc } from '../model/ConfigDoc.js'
import type { CustomerUse } from '../model/CustomerUse.js'
import type { View } from '../model/View.js'
import type { Message } from '../wire/Message.js'
import type { PeerIdentity } from '../wire/PeerIdentity.js'
import { Admission } from './Admission.js'
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

/** What the service needs from its process. */
interface ShareServiceOptions {
  /** Name of the own host. */
  readonly host: string
  /** Incarnation of the own process. */
  readonly incarnation: number
  readonly clock: Clock
  readonly messenger: PeerMessenger
}

/** A request in the queue. */
interface QueuedRequest {
  readonly deadlineAtMs: number
  /** Latest time at which it may leave the queue. */
  readonly waitUntilMs: number
  readonly needsLong: boolean
  readonly finish: (result: Result<Permit, Failure>) => void
}

/**
 * Keeps every customer within its cap at this host, and moves parts of the cap between hosts by loans.
 * Call `tick` about every 10 ms.
 */
export class ShareService extends Admission {
  private readonly table: ShareTable
  private readonly clock: Clock
  private readonly queues = new Map<string, AdmissionQueue<QueuedRequest>>()
  /** Customers for which something has to be done on a tick. */
  private readonly active = new Set<string>()
  private readonly announcing = new Set<string>()
  private lastSweepAtMs: number
  private stopping = false

  constructor (private readonly options: ShareServiceOptions) {
    super()
    this.clock = options.clock
    this.lastSweepAtMs = this.clock.nowMs()
    this.table = new ShareTable({ host: options.host, incarnation: options.incarnation, startedMs: this.lastSweepAtMs })
  }

  /** Version for the digest: in force, with no loan or request left over from larger portions. */
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
      const taken = row.share.tryAdmit(nowMs, request.deadlineAtMs)
      if (typeof taken !== 'string') return ok(this.createPermit(row, taken))
      row.share.blocker = taken
    }
    const refusal = this.findRefusal(row, request, nowMs)
    if (refusal !== undefined) return err(refusal)
    return await this.enqueue(row, request, nowMs)
  }

  override takeRetry (customer: string): boolean {
    const nowMs = this.clock.nowMs()
    return this.table.open(customer, nowMs)?.share.retries.take(nowMs) ?? false
  }

  override listUses (): CustomerUse[] {
    const nowMs = this.clock.nowMs()
    const uses: CustomerUse[] = []
    for (const { customer, share } of this.table.list()) {
      const rate = share.admissions.estimate(nowMs)
      const { inFlight } = share
      if (rate === 0 && inFlight === 0) continue
      uses.push({ customer, inFlight, rate, rateHeld: share.computeEffectiveRate(nowMs), permitsHeld: share.countEffectivePermits(nowMs) })
    }
    return uses.sort((a, b) => b.rate - a.rate || b.inFlight - a.inFlight).slice(0, shareLimits.maxReportedUses)
  }

  /** Answers a message from another host's entry process; a message that makes no sense is refused. */
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
      const taken = this.table.applyAnnouncement(announcement.data, peer, nowMs)
      return taken ? { t: 'loan_noted' } : createRefusal('the announcement is for another process')
    }
    const recall = loanMessages.recall.safeParse(message)
    if (recall.success) return this.applyRecall(recall.data.recall, peer)
    const statement = loanMessages.statement.safeParse(message)
    if (!statement.success) return createRefusal('the message is not a valid loan message')
    if (this.table.takeBack(statement.data, peer, nowMs)) this.serve(statement.data.customer, nowMs)
    return { t: 'loan_noted' }
  }

  /** Serves queues, renews and asks for loans, and drops what is idle. */
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

  /** Returns loans that are free and borrows nothing more; requests in flight keep their permits. */
  async prepareStop (): Promise<void> {
    this.stopping = true
    const { messenger } = this.options
    const sent: Promise<unknown>[] = []
    for (const [lender, statements] of this.table.planReturns()) {
      for (const statement of statements) sent.push(messenger.request(lender, statement, shareLimits.loanRequestTimeoutMs))
    }
    await Promise.allSettled(sent)
  }

  /** Number of customers with a row; for metrics and tests. */
  get rowCount (): number {
    return this.table.size
  }

  private findRefusal (row: ShareRow, request: AdmissionRequest, nowMs: number): Failure | undefined {
    const { share } = row
    const limit = share.blocker ?? 'rate'
    const exhausted = this.table.isExhausted(row, nowMs)
    const rate = Math.max(0.001, exhausted ? share.computeEffectiveRate(nowMs) : share.contract.rate)
    const waitMs = share.estimateWaitMs(rate)
    if (share.queued >= Math.max(1, share.contract.concurrency)) {
      return createLimitFailure({ limit, customer: row.customer, contract: share.contract, isQueueFull: true, waitMs })
    }
    const endMs = computeWaitEndMs(request, nowMs)
    if (limit !== 'rate' || !exhausted || nowMs + waitMs <= endMs) return undefined
    return createLimitFailure({ limit, customer: row.customer, contract: share.contract, isQueueFull: false, waitMs })
  }

  /** The signal is only read here: callers make it when it is first used, and most requests never wait. */
  private async enqueue (row: ShareRow, request: AdmissionRequest, nowMs: number): Promise<Result<Permit, Failure>> {
    if (request.signal.aborted) return err(createFailure('deadlineExceeded', { message: 'the caller has gone' }))
    return await new Promise((resolve) => {
      const queue = this.queues.get(row.customer) ?? new AdmissionQueue<QueuedRequest>()
      this.queues.set(row.customer, queue)
      const leave = (): void => {
        if (!queue.delete(waiting)) return
        this.updateQueueCounts(row, queue)
        resolve(err(createFailure('deadlineExceeded', { message: 'the caller has gone' })))
      }
      const waiting: QueuedRequest = {
        deadlineAtMs: request.deadlineAtMs,
        waitUntilMs: computeWaitEndMs(request, nowMs),
        needsLong: request.deadlineAtMs - nowMs > shareLimits.shortRequestMs,
        finish: (result) => {
          request.signal.removeEventListener('abort', leave)
          resolve(result)
        }
      }
      request.signal.addEventListener('abort', leave, { once: true })
      queue.add(waiting)
      this.updateQueueCounts(row, queue)
      this.sendLoanRequests(row, nowMs)
    })
  }

  /** Admits what can be admitted, refuses what has waited too long, and sends what is due. */
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
    let isNearBlocked = false
    for (const waiting of queue.list()) {
      if (waiting.waitUntilMs <= nowMs) {
        this.refuseQueued(row, queue, waiting, nowMs)
        continue
      }
      if (isBlocked || (isNearBlocked && !waiting.needsLong)) continue
      const taken = row.share.tryAdmit(nowMs, waiting.deadlineAtMs)
      if (typeof taken !== 'string') {
        queue.delete(waiting)
        waiting.finish(ok(this.createPermit(row, taken)))
        continue
      }
      row.share.blocker = taken
      isNearBlocked ||= !waiting.needsLong
      isBlocked ||= taken === 'rate'
    }
    this.updateQueueCounts(row, queue)
    if (queue.length === 0) this.queues.delete(row.customer)
  }

  private refuseQueued (row: ShareRow, queue: AdmissionQueue<QueuedRequest>, waiting: QueuedRequest, nowMs: number): void {
    queue.delete(waiting)
    const { share } = row
    const limit = share.blocker ?? 'rate'
    const waitMs = limit === 'quarantine'
      ? this.table.quarantineEndsAtMs - nowMs
      : (queue.length + 1) * 1_000 / Math.max(0.1, share.computeEffectiveRate(nowMs))
    waiting.finish(err(createLimitFailure({ limit, customer: row.customer, contract: share.contract, isQueueFull: false, waitMs })))
  }

  private updateQueueCounts (row: ShareRow, queue: AdmissionQueue<QueuedRequest>): void {
    row.share.queued = queue.length
    row.share.queuedLong = queue.length === 0 ? 0 : queue.list().filter(({ needsLong }) => needsLong).length
  }

  private sendLoanRequests (row: ShareRow, nowMs: number): void {
    for (const { lender, message } of this.table.planOrders(row, nowMs)) this.sendLoanRequest(row, lender, message)
  }

  private async sendLoanRequest (row: ShareRow, lender: string, message: Message & { readonly seq: number }): Promise<void> {
    const answer = await this.options.messenger.request(lender, message, shareLimits.loanRequestTimeoutMs)
    const nowMs = this.clock.nowMs()
    const grant = loanMessages.grant.safeParse(answer.unwrapOr(undefined))
    if (!grant.success) {
      this.table.applyLoss(row, lender, message.seq, nowMs)
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

  /** Sends the frames in order, so that `complete` arrives after all rows; the next sweep tries again. */
  private async announce (host: string, frames: readonly (Message & { readonly to: number, readonly holdsNothing: boolean })[]): Promise<void> {
    this.announcing.add(host)
    let to = 0
    let isNoted = true
    const holdsNothing = frames.every((frame) => frame.holdsNothing)
    for (const frame of frames) {
      const answer = await this.options.messenger.request(host, frame, shareLimits.loanRequestTimeoutMs)
      isNoted &&= answer.isOk() && answer.value.t === 'loan_noted'
      if (!isNoted) break
      to = frame.to
    }
    this.announcing.delete(host)
    if (isNoted) this.table.recordAnnouncementSent(host, to, holdsNothing)
  }

  private createPermit (row: ShareRow, source: PermitSource): Permit {
    const onRelease = (): void => this.onRelease(row)
    return new HeldPermit({ share: row.share, source, clock: this.clock, onRelease })
  }

  private onRelease (row: ShareRow): void {
    if (row.share.queued > 0) this.serveQueue(row, this.clock.nowMs())
  }

  /** True when a tick has nothing to do for the row. */
  private isInactive (row: ShareRow, nowMs: number): boolean {
    const { share } = row
    return share.queued === 0 && share.held.size === 0 && row.owed.size === 0 && nowMs - share.lastUsedAtMs > shareLimits.renewAfterMs
  }
}

/** Time in ms after which a tick looks at the row again. */
function getCheckIntervalMs ({ share, owed }: ShareRow): number {
  if (share.queued > 0) return 0
  return share.held.size > 0 || owed.size > 0 ? shareLimits.loanCheckIntervalMs : shareLimits.demandCheckIntervalMs
}

function computeWaitEndMs (request: AdmissionRequest, nowMs: number): number {
  const remainingMs = request.deadlineAtMs - nowMs
  return nowMs + Math.min(shareLimits.maxQueueMs, remainingMs * shareLimits.queueFraction)
}

function createRefusal (message: string): Message {
  return { t: 'refused', message }
}
