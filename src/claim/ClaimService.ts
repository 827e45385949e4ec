import { err, ok, type Result } from 'neverthrow'
import type { z } from 'zod'
import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'
import { Outcome } from '../common/Outcome.js'
import type { ResultName } from '../common/ResultName.js'
import type { ConfigDoc } from '../model/ConfigDoc.js'
import { MemberState } from '../model/MemberState.js'
import type { View } from '../model/View.js'
import type { Message } from '../wire/Message.js'
import type { PeerIdentity } from '../wire/PeerIdentity.js'
import type { ClaimHandle } from './ClaimHandle.js'
import { ClaimHome } from './ClaimHome.js'
import type { ClaimKey } from './ClaimKey.js'
import { claimLimits } from './claimLimits.js'
import { claimMessages } from './claimMessages.js'
import type { ClaimRequest } from './ClaimRequest.js'
import { Claims } from './Claims.js'
import type { ClaimServiceOptions } from './ClaimServiceOptions.js'
import { CopyTable } from './CopyTable.js'
import { GrantedClaim } from './GrantedClaim.js'
import { HandoverClient } from './HandoverClient.js'
import type { HandoverRow } from './HandoverRow.js'
import { HandoverTable } from './HandoverTable.js'
import { HomeMap } from './HomeMap.js'
import type { StoredAnswer } from './StoredAnswer.js'
import { parseClaimKey } from './parseClaimKey.js'
import type { Settlement } from './Settlement.js'
import { SettlementQueue } from './SettlementQueue.js'
import { toClaimResult } from './toClaimResult.js'

type ClaimMessage = z.infer<typeof claimMessages.claim>
type ResultMessage = z.infer<typeof claimMessages.result>
type Decision = z.infer<typeof claimMessages.decision>
type ClaimDecision = { kind: 'granted', claim: ClaimHandle } | { kind: 'done', answer: StoredAnswer }

/** A claim that was granted to this process and is not settled. */
interface OpenClaim {
  readonly home: string
  readonly message: ClaimMessage
  readonly deadlineAtMs: number
  refreshAtMs: number
}

/** Ensures that a request with an idempotency key runs at most once. `tick` is to be called about every 10 ms. */
export class ClaimService extends Claims {
  private readonly homes = new HomeMap()
  private readonly home: ClaimHome
  private readonly copies = new CopyTable()
  private readonly handovers = new HandoverTable()
  private readonly handoverClient: HandoverClient
  private readonly settlements: SettlementQueue
  private readonly openClaims = new Map<string, OpenClaim>()
  private readonly incarnations = new Map<string, number>()
  private readonly appliedVersions = new Map<string, number>()
  private readonly deadHosts = new Set<string>()
  private claimCount = 0
  private lastSweepMs = -Infinity
  /** Time in ms until which the predecessor's handover is looked for; undefined once it was found or the time is over. */
  private recoverUntilMs: number | undefined
  private isRecovering = false

  constructor (private readonly options: ClaimServiceOptions) {
    super()
    this.home = new ClaimHome(options, this.homes, (executor) => this.isCurrent(executor))
    this.settlements = new SettlementQueue(options)
    this.handoverClient = new HandoverClient(options.messenger)
    this.incarnations.set(options.host, options.incarnation)
    this.recoverUntilMs = options.clock.nowMs() + claimLimits.recoveryMs
  }

  override get keyPrefix (): string {
    return `${this.options.host}.${this.options.incarnation}.`
  }

  /** Sizes of the tables and queues, for metrics and tests. */
  get sizes (): { claims: number, answerBytes: number, copies: number, handovers: number, settlements: number, waiting: number } {
    const { table, waiting } = this.home
    return {
      claims: table.size,
      answerBytes: table.bytes,
      copies: this.copies.size,
      handovers: this.handovers.size,
      settlements: this.settlements.size,
      waiting
    }
  }

  /** Returns true when this host is the home of the key. */
  isHomeOf (customer: string, key: string): boolean {
    const parsed = parseClaimKey(customer, key, this.homes.bindableHosts)
    return parsed !== undefined && this.homes.findHome(parsed) === this.options.host
  }

  setConfig (doc: ConfigDoc): void {
    this.homes.setConfig(doc)
    this.recover()
  }

  setView (view: View): void {
    if (view.isFirstStart) this.home.markRecordsComplete()
    this.deadHosts.clear()
    this.appliedVersions.clear()
    for (const { host, state, digest } of view.members) {
      if (host === this.options.host) continue
      if (state === MemberState.dead) this.deadHosts.add(host)
      if (digest === undefined) continue
      this.appliedVersions.set(host, digest.appliedVersion)
      this.recordIncarnation(host, digest.entryIncarnation)
    }
    if (this.deadHosts.size > 0) this.home.settleGone((executor) => this.deadHosts.has(executor.host))
  }

  override isCertainlyNotRun (customer: string, key: string): boolean {
    return this.home.isUnused(customer, key)
  }

  override async claim (request: ClaimRequest): Promise<Result<ClaimDecision, Failure>> {
    const key = parseClaimKey(request.customer, request.key, this.homes.bindableHosts)
    if (key === undefined) return err(createFailure('badIdempotencyKey'))
    const homeName = this.homes.findHome(key)
    if (homeName === undefined) return err(createFailure('keyHomeUnreachable', { outcome: Outcome.unknown }))
    if (this.isHomeGone(key)) return await this.answerFromWitness(request, key, homeName, 'keyHomeGone')
    for (;;) {
      const sentAtMs = this.options.clock.nowMs()
      const remainingMs = request.deadlineAtMs - sentAtMs
      if (remainingMs <= 0) return err(createFailure('keyRunning', { outcome: Outcome.unknown, retryAfterMs: 1_000 }))
      const message = this.createClaimMessage(request, remainingMs)
      const decision = await this.requestClaim(homeName, message)
      if (decision?.kind === 'granted') return ok({ kind: 'granted', claim: this.openClaim(homeName, message, request, sentAtMs) })
      if (decision === undefined) return await this.answerFromWitness(request, key, homeName, 'keyHomeUnreachable')
      if (decision.kind === 'gone') return await this.answerFromWitness(request, key, homeName, 'keyHomeGone')
      if (decision.kind !== 'retry' && decision.kind !== 'running') return toClaimResult(decision)
    }
  }

  /** Answers a message from another host's entry process; an invalid message is refused. */
  async handleMessage (message: Message, peer: PeerIdentity): Promise<Message> {
    this.recordIncarnation(peer.name, peer.incarnation)
    const executor = { host: peer.name, incarnation: peer.incarnation }
    const claim = claimMessages.claim.safeParse(message)
    if (claim.success) return { ...await this.home.claim(claim.data, executor) }
    const result = claimMessages.result.safeParse(message)
    if (result.success) {
      this.home.settle(result.data, executor)
      return { t: 'claim_noted' }
    }
    const copy = claimMessages.copy.safeParse(message)
    if (copy.success) return this.applyCopy(copy.data, peer)
    const handoverRead = claimMessages.handoverRead.safeParse(message)
    if (handoverRead.success) return this.readHandover(handoverRead.data.handoverFrom, peer)
    const read = claimMessages.read.safeParse(message)
    if (read.success) return this.readCopy(read.data)
    const handover = claimMessages.handover.safeParse(message)
    if (handover.success) return this.applyHandover(handover.data, peer)
    return refuse('not a valid message about idempotency keys')
  }

  tick (nowMs: number): void {
    this.home.tick(nowMs)
    this.settlements.tick(nowMs)
    if (nowMs - this.lastSweepMs < claimLimits.sweepMs) return
    this.lastSweepMs = nowMs
    this.copies.sweep(nowMs)
    this.handovers.sweep(nowMs)
    this.homes.sweep(this.appliedVersions, this.options.host, nowMs)
    this.refreshOpenClaims(nowMs)
    this.recover()
  }

  /**
   * Stops granting and hands the records over to another host. Returns true when a host has acknowledged the complete
   * handover. Settlements of requests that still run are forwarded to that host.
   */
  async prepareStop (): Promise<boolean> {
    const { host } = this.options
    const { rows, coverage } = this.home.freeze()
    const candidates = this.homes.rankWitnesses(createHandoverId(host), host).filter((name) => !this.deadHosts.has(name))
    for (const candidate of candidates.slice(0, claimLimits.handoverHosts)) {
      this.home.setHandoverHost(candidate)
      if (await this.handoverClient.send(candidate, rows, coverage)) return true
    }
    return false
  }

  private createClaimMessage (request: ClaimRequest, remainingMs: number): ClaimMessage {
    const { host, incarnation } = this.options
    const { customer, key, fingerprint } = request
    this.claimCount += 1
    return {
      t: 'claim',
      customer,
      key,
      fingerprint,
      claimId: `${host}.${incarnation}.${this.claimCount}`,
      remainingMs: Math.min(remainingMs, claimLimits.maxRequestMs),
      waitMs: Math.min(remainingMs, claimLimits.longPollMs)
    }
  }

  /** Requests a claim from a home; returns undefined when it did not answer. Then a claim that the home may have granted is released. */
  private async requestClaim (home: string, message: ClaimMessage): Promise<Decision | undefined> {
    const { host, incarnation, messenger } = this.options
    if (home === host) return await this.home.claim(message, { host, incarnation })
    const answer = await messenger.request(home, message, message.waitMs + claimLimits.homeTimeoutMs)
    const decision = claimMessages.decision.safeParse(answer.unwrapOr(undefined))
    if (decision.success) return decision.data
    const isUnsent = answer.isErr() && answer.error.name === 'peerUnreachable'
    if (!isUnsent) this.settlements.add(home, createResultMessage(message, message.remainingMs, { outcome: 'notRun' }))
    return undefined
  }

  private openClaim (home: string, message: ClaimMessage, request: ClaimRequest, sentAtMs: number): ClaimHandle {
    const refreshAtMs = sentAtMs + claimLimits.refreshMs
    this.openClaims.set(message.claimId, { home, message, deadlineAtMs: request.deadlineAtMs, refreshAtMs })
    return new GrantedClaim(this.options.clock, sentAtMs, (settlement) => {
      this.openClaims.delete(message.claimId)
      this.settle(home, createResultMessage(message, 0, settlement))
    })
  }

  private settle (home: string, result: ResultMessage): void {
    const { host, incarnation } = this.options
    if (home === host) this.home.settle(result, { host, incarnation })
    else this.settlements.add(home, result)
  }

  /** Reports long requests that still run to their homes again, in case these have restarted. */
  private refreshOpenClaims (nowMs: number): void {
    for (const claim of this.openClaims.values()) {
      if (claim.refreshAtMs > nowMs) continue
      claim.refreshAtMs = nowMs + claimLimits.refreshMs
      const result = createResultMessage(claim.message, Math.max(0, claim.deadlineAtMs - nowMs), { outcome: 'running' })
      if (claim.home !== this.options.host) this.options.messenger.notify(claim.home, result)
    }
  }

  /** Returns the witness's copy of the answer, or a failure with an unknown outcome, because the key may have run. */
  private async answerFromWitness (request: ClaimRequest, key: ClaimKey, home: string, failure: ResultName): Promise<Result<ClaimDecision, Failure>> {
    const { customer, fingerprint } = request
    const unavailable = createFailure(failure, { outcome: Outcome.unknown, retryAfterMs: 1_000 })
    const witness = this.homes.findWitness(key.id, home)
    if (witness === undefined) return err(unavailable)
    const copy = await this.readFromWitness(witness, { t: 'claim_read', customer, key: request.key })
    if (copy === undefined || !copy.found) return err(unavailable)
    if (copy.fingerprint !== fingerprint) return err(createFailure('keyMismatch', { outcome: Outcome.unknown }))
    if (copy.answer !== undefined) return ok({ kind: 'done', answer: copy.answer })
    return err(createFailure('keyUnknown', { outcome: Outcome.unknown }))
  }

  private async readFromWitness (witness: string, message: z.infer<typeof claimMessages.read>): Promise<z.infer<typeof claimMessages.copyAnswer> | undefined> {
    const { host, messenger } = this.options
    const answer = witness === host ? this.readCopy(message) : (await messenger.request(witness, message, claimLimits.homeTimeoutMs)).unwrapOr(undefined)
    return claimMessages.copyAnswer.safeParse(answer).data
  }

  private readCopy ({ customer, key }: z.infer<typeof claimMessages.read>): Message {
    const parsed = parseClaimKey(customer, key, this.homes.bindableHosts)
    const copy = parsed === undefined ? undefined : this.copies.get(parsed.id)
    if (copy === undefined) return { t: 'claim_copy', found: false, fingerprint: '', state: 'unknown' }
    const { fingerprint, state, answer } = copy
    return { t: 'claim_copy', found: true, fingerprint, state, ...(answer === undefined ? {} : { answer }) }
  }

  private applyCopy (message: z.infer<typeof claimMessages.copy>, peer: PeerIdentity): Message {
    const { customer, fingerprint, state, answer } = message
    const parsed = parseClaimKey(customer, message.key, this.homes.bindableHosts)
    if (parsed === undefined) return refuse('the key is malformed')
    this.handovers.update(peer.name, peer.incarnation, parsed.id, state === 'absent' ? undefined : { state, answer })
    if (state === 'absent') this.copies.delete(parsed.id)
    else this.copies.set(parsed.id, { fingerprint, state, answer, copiedAtMs: this.options.clock.nowMs() })
    return { t: 'claim_noted' }
  }

  private applyHandover (message: z.infer<typeof claimMessages.handover>, peer: PeerIdentity): Message {
    const nowMs = this.options.clock.nowMs()
    const rows = new Map<string, HandoverRow>()
    for (const row of message.rows) {
      const parsed = parseClaimKey(row.customer, row.key, this.homes.bindableHosts)
      if (parsed !== undefined) rows.set(parsed.id, row)
    }
    if (!this.homes.bindableHosts.has(peer.name)) return refuse(`host "${peer.name}" is not configured`)
    const { complete } = message
    if (complete === undefined) {
      return this.handovers.add(peer.name, peer.incarnation, rows, nowMs)
        ? { t: 'claim_noted' }
        : refuse('the handover is outdated, already complete or too large')
    }
    const isComplete = this.handovers.markComplete(peer.name, peer.incarnation, complete.rows, complete, nowMs)
    return isComplete ? { t: 'claim_noted' } : refuse('the handover is outdated or rows are missing')
  }

  private readHandover (from: number, peer: PeerIdentity): Message {
    const page = this.handovers.read(peer.name, peer.incarnation, from, this.options.clock.nowMs())
    if (page === undefined) return { t: 'claim_handover', found: false, total: 0, rows: [], hostSets: [], incompleteMs: 0 }
    return { t: 'claim_handover', found: true, total: page.total, rows: page.rows, ...page.coverage }
  }

  /** Looks for the handover of this host's previous process, until one is found or `recoveryMs` are over. */
  private async recover (): Promise<void> {
    const { host, clock } = this.options
    if (this.isRecovering || this.recoverUntilMs === undefined || this.homes.hosts.length === 0) return
    if (clock.nowMs() >= this.recoverUntilMs) {
      this.recoverUntilMs = undefined
      return
    }
    this.isRecovering = true
    const candidates = this.homes.rankWitnesses(createHandoverId(host), host).slice(0, claimLimits.recoveryHosts)
    const received = await Promise.all(candidates.map(async (name) => await this.handoverClient.read(name)))
    for (const handover of received) {
      if (handover === undefined) continue
      this.home.loadHandover(handover.rows, handover)
      this.recoverUntilMs = undefined
    }
    this.isRecovering = false
  }

  private isHomeGone ({ bound }: ClaimKey): boolean {
    return bound !== undefined && (this.incarnations.get(bound.host) ?? 0) > bound.incarnation
  }

  private isCurrent ({ host, incarnation }: { host: string, incarnation: number }): boolean {
    return incarnation >= (this.incarnations.get(host) ?? 0)
  }

  private recordIncarnation (host: string, incarnation: number): void {
    if (host === this.options.host || incarnation <= (this.incarnations.get(host) ?? 0)) return
    this.incarnations.set(host, incarnation)
    this.home.settleGone((executor) => executor.host === host && executor.incarnation < incarnation)
  }
}

function createResultMessage (message: ClaimMessage, remainingMs: number, { outcome, answer }: Settlement): ResultMessage {
  const { customer, key, fingerprint, claimId } = message
  const result = { t: 'claim_result', customer, key, fingerprint, claimId, outcome, remainingMs } as const
  return answer === undefined ? result : { ...result, answer }
}

function createHandoverId (host: string): string {
  return `handover:${host}`
}

function refuse (message: string): Message {
  return { t: 'refused', message }
}
