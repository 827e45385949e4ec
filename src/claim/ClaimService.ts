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
import type { HandoverRow } from './HandoverRow.js'
import { HandoverTable } from './HandoverTable.js'
import { HomeMap } from './HomeMap.js'
import type { KeptAnswer } from './KeptAnswer.js'
import { parseClaimKey } from './parseClaimKey.js'
import type { Settlement } from './Settlement.js'
import { SettlementQueue } from './SettlementQueue.js'

type ClaimMessage = z.infer<typeof claimMessages.claim>
type ResultMessage = z.infer<typeof claimMessages.result>
type Decision = z.infer<typeof claimMessages.decision>
type HandoverRows = z.infer<typeof claimMessages.handoverRows>
type ClaimDecision = { kind: 'granted', claim: ClaimHandle } | { kind: 'done', answer: KeptAnswer }

/** A claim that this process holds. */
interface OpenClaim {
  readonly home: string
  readonly message: ClaimMessage
  readonly deadlineAtMs: number
  refreshMs: number
}

/** Makes sure that a request with an idempotency key runs at most once. Call `tick` about every 10 ms. */
export class ClaimService extends Claims {
  private readonly map = new HomeMap()
  private readonly home: ClaimHome
  private readonly copies = new CopyTable()
  private readonly handovers = new HandoverTable()
  private readonly settlements: SettlementQueue
  private readonly open = new Map<string, OpenClaim>()
  private readonly incarnations = new Map<string, number>()
  private readonly versions = new Map<string, number>()
  private readonly dead = new Set<string>()
  private claimCount = 0
  private sweptMs = -Infinity
  /** Time until which a handover of the predecessor is looked for; undefined when that is over. */
  private recoverUntilMs: number | undefined
  private recovering = false

  constructor (private readonly options: ClaimServiceOptions) {
    super()
    this.home = new ClaimHome(options, this.map, (executor) => this.isCurrent(executor))
    this.settlements = new SettlementQueue(options)
    this.incarnations.set(options.host, options.incarnation)
    this.recoverUntilMs = options.clock.nowMs() + claimLimits.recoveryMs
  }

  override get keyPrefix (): string {
    return `${this.options.host}.${this.options.incarnation}.`
  }

  /** Sizes of the tables, for metrics and tests. */
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

  /** True when this host decides about the key. */
  isHomeOf (customer: string, key: string): boolean {
    const parsed = parseClaimKey(customer, key, this.map.boundNames)
    return parsed !== undefined && this.map.findHome(parsed) === this.options.host
  }

  setConfig (doc: ConfigDoc): void {
    this.map.setConfig(doc)
    this.recover()
  }

  setView (view: View): void {
    if (view.isFirstStart) this.home.markComplete()
    this.dead.clear()
    this.versions.clear()
    for (const { host, state, digest } of view.members) {
      if (host === this.options.host) continue
      if (state === MemberState.dead) this.dead.add(host)
      if (digest === undefined) continue
      this.versions.set(host, digest.appliedVersion)
      this.noteIncarnation(host, digest.entryIncarnation)
    }
    if (this.dead.size > 0) this.home.settleGone((executor) => this.dead.has(executor.host))
  }

  override isCertainlyNotRun (customer: string, key: string): boolean {
    return this.home.isUnused(customer, key)
  }

  override async claim (request: ClaimRequest): Promise<Result<ClaimDecision, Failure>> {
    const key = parseClaimKey(request.customer, request.key, this.map.boundNames)
    if (key === undefined) return err(createFailure('badIdempotencyKey'))
    const homeName = this.map.findHome(key)
    if (homeName === undefined) return err(createFailure('keyHomeUnreachable', { outcome: Outcome.unknown }))
    if (this.isHomeGone(key)) return await this.answerFromWitness(request, key, homeName, 'keyHomeGone')
    for (;;) {
      const sentAtMs = this.options.clock.nowMs()
      const remainingMs = request.deadlineAtMs - sentAtMs
      if (remainingMs <= 0) return err(createFailure('keyRunning', { outcome: Outcome.unknown, retryAfterMs: 1_000 }))
      const message = this.createClaim(request, remainingMs)
      const decision = await this.ask(homeName, message)
      if (decision?.kind === 'granted') return ok({ kind: 'granted', claim: this.openClaim(homeName, message, request, sentAtMs) })
      if (decision === undefined) return await this.answerFromWitness(request, key, homeName, 'keyHomeUnreachable')
      if (decision.kind === 'gone') return await this.answerFromWitness(request, key, homeName, 'keyHomeGone')
      if (decision.kind !== 'retry' && decision.kind !== 'running') return translate(decision)
    }
  }

  /** Answers a message from another host's entry process; a message that makes no sense is refused. */
  async handleMessage (message: Message, peer: PeerIdentity): Promise<Message> {
    this.noteIncarnation(peer.name, peer.incarnation)
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
    return refuse('the message is not a valid message about idempotency keys')
  }

  tick (nowMs: number): void {
    this.home.tick(nowMs)
    this.settlements.tick(nowMs)
    if (nowMs - this.sweptMs < claimLimits.sweepMs) return
    this.sweptMs = nowMs
    this.copies.sweep(nowMs)
    this.handovers.sweep(nowMs)
    this.map.sweep(this.versions, this.options.host, nowMs)
    this.refreshOpenClaims(nowMs)
    this.recover()
  }

  /**
   * Stops granting and hands the memory over to another host, with a complete mark. True when a host has
   * confirmed all of it; settlements of requests that still run are passed on to that host.
   */
  async prepareStop (): Promise<boolean> {
    const { host } = this.options
    const { rows, memory } = this.home.freeze()
    const candidates = this.map.rankWitnesses(createHandoverId(host), host).filter((name) => !this.dead.has(name))
    for (const candidate of candidates.slice(0, claimLimits.handoverTries)) {
      this.home.setHolder(candidate)
      if (await this.handOver(candidate, rows, memory)) return true
    }
    return false
  }

  private createClaim (request: ClaimRequest, remainingMs: number): ClaimMessage {
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
      waitMs: Math.min(remainingMs, claimLimits.waitSliceMs)
    }
  }

  /** Asks a home; undefined when it gave no answer. A claim that may have been granted unheard is given back. */
  private async ask (home: string, message: ClaimMessage): Promise<Decision | undefined> {
    const { host, incarnation, messenger } = this.options
    if (home === host) return await this.home.claim(message, { host, incarnation })
    const answer = await messenger.request(home, message, message.waitMs + claimLimits.homeTimeoutMs)
    const decision = claimMessages.decision.safeParse(answer.unwrapOr(undefined))
    if (decision.success) return decision.data
    const isUnsent = answer.isErr() && answer.error.name === 'peerUnreachable'
    if (!isUnsent) this.settlements.add(home, createResult(message, message.remainingMs, { outcome: 'notRun' }))
    return undefined
  }

  private openClaim (home: string, message: ClaimMessage, request: ClaimRequest, sentAtMs: number): ClaimHandle {
    const refreshMs = sentAtMs + claimLimits.refreshMs
    this.open.set(message.claimId, { home, message, deadlineAtMs: request.deadlineAtMs, refreshMs })
    return new GrantedClaim(this.options.clock, sentAtMs, (settlement) => {
      this.open.delete(message.claimId)
      this.settle(home, createResult(message, 0, settlement))
    })
  }

  private settle (home: string, result: ResultMessage): void {
    const { host, incarnation } = this.options
    if (home === host) this.home.settle(result, { host, incarnation })
    else this.settlements.add(home, result)
  }

  /** Tells homes again which long requests still run, in case they have restarted. */
  private refreshOpenClaims (nowMs: number): void {
    for (const claim of this.open.values()) {
      if (claim.refreshMs > nowMs) continue
      claim.refreshMs = nowMs + claimLimits.refreshMs
      const result = createResult(claim.message, Math.max(0, claim.deadlineAtMs - nowMs), { outcome: 'running' })
      if (claim.home !== this.options.host) this.options.messenger.notify(claim.home, result)
    }
  }

  /** Replays a copy of the answer, or says that the key may have run. */
  private async answerFromWitness (request: ClaimRequest, key: ClaimKey, home: string, failure: ResultName): Promise<Result<ClaimDecision, Failure>> {
    const { customer, fingerprint } = request
    const lost = createFailure(failure, { outcome: Outcome.unknown, retryAfterMs: 1_000 })
    const witness = this.map.findWitness(key.id, home)
    if (witness === undefined) return err(lost)
    const copy = await this.readFromWitness(witness, { t: 'claim_read', customer, key: request.key })
    if (copy === undefined || !copy.found) return err(lost)
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
    const parsed = parseClaimKey(customer, key, this.map.boundNames)
    const copy = parsed === undefined ? undefined : this.copies.get(parsed.id)
    if (copy === undefined) return { t: 'claim_copy', found: false, fingerprint: '', state: 'unknown' }
    const { fingerprint, state, answer } = copy
    return { t: 'claim_copy', found: true, fingerprint, state, ...(answer === undefined ? {} : { answer }) }
  }

  private applyCopy (message: z.infer<typeof claimMessages.copy>, peer: PeerIdentity): Message {
    const { customer, fingerprint, state, answer } = message
    const parsed = parseClaimKey(customer, message.key, this.map.boundNames)
    if (parsed === undefined) return refuse('the key is malformed')
    this.handovers.update(peer.name, peer.incarnation, parsed.id, state === 'absent' ? undefined : { state, answer })
    if (state === 'absent') this.copies.delete(parsed.id)
    else this.copies.set(parsed.id, { fingerprint, state, answer, copiedMs: this.options.clock.nowMs() })
    return { t: 'claim_noted' }
  }

  private applyHandover (message: z.infer<typeof claimMessages.handover>, peer: PeerIdentity): Message {
    const nowMs = this.options.clock.nowMs()
    const rows = new Map<string, HandoverRow>()
    for (const row of message.rows) {
      const parsed = parseClaimKey(row.customer, row.key, this.map.boundNames)
      if (parsed !== undefined) rows.set(parsed.id, row)
    }
    if (!this.map.boundNames.has(peer.name)) return refuse(`host "${peer.name}" is not configured`)
    const { complete } = message
    if (complete === undefined) {
      return this.handovers.add(peer.name, peer.incarnation, rows, nowMs) ? { t: 'claim_noted' } : refuse('the handover is out of date')
    }
    const isComplete = this.handovers.complete(peer.name, peer.incarnation, complete.rows, complete, nowMs)
    return isComplete ? { t: 'claim_noted' } : refuse('the handover has missing rows')
  }

  private readHandover (from: number, peer: PeerIdentity): Message {
    const part = this.handovers.read(peer.name, peer.incarnation, from, this.options.clock.nowMs())
    if (part === undefined) return { t: 'claim_handover', found: false, total: 0, rows: [], hostSets: [], incompleteMs: 0 }
    return { t: 'claim_handover', found: true, total: part.total, rows: part.rows, ...part.memory }
  }

  private async handOver (target: string, rows: readonly HandoverRow[], memory: { hostSets: string[][], incompleteMs: number }): Promise<boolean> {
    let frame: HandoverRow[] = []
    let bytes = 0
    for (const row of rows) {
      frame.push(row)
      bytes += claimLimits.rowBytes + (row.answer?.body.length ?? 0)
      if (bytes < claimLimits.handoverFrameBytes) continue
      if (!await this.sendHandover(target, { rows: frame })) return false
      frame = []
      bytes = 0
    }
    if (frame.length > 0 && !await this.sendHandover(target, { rows: frame })) return false
    return await this.sendHandover(target, { rows: [], complete: { rows: rows.length, ...memory } })
  }

  private async sendHandover (target: string, parts: Record<string, unknown>): Promise<boolean> {
    const answer = await this.options.messenger.request(target, { t: 'claim_handover', ...parts }, claimLimits.handoverTimeoutMs)
    return answer.isOk() && answer.value.t === 'claim_noted'
  }

  /** Looks for the handover of this host's last process until one is found or the time for it is over. */
  private async recover (): Promise<void> {
    const { host, clock } = this.options
    if (this.recovering || this.recoverUntilMs === undefined || this.map.hosts.length === 0) return
    if (clock.nowMs() >= this.recoverUntilMs) {
      this.recoverUntilMs = undefined
      return
    }
    this.recovering = true
    const candidates = this.map.rankWitnesses(createHandoverId(host), host).slice(0, claimLimits.recoveryHosts)
    const found = await Promise.all(candidates.map(async (name) => await this.readAll(name)))
    for (const memory of found) {
      if (memory === undefined) continue
      this.home.load(memory.rows, memory)
      this.recoverUntilMs = undefined
    }
    this.recovering = false
  }

  /** Reads a whole handover from one host; undefined when it has none or a frame is lost. */
  private async readAll (holder: string): Promise<HandoverRows | undefined> {
    const rows: HandoverRow[] = []
    for (;;) {
      const answer = await this.options.messenger.request(holder, { t: 'claim_read', handoverFrom: rows.length }, claimLimits.handoverTimeoutMs)
      const part = claimMessages.handoverRows.safeParse(answer.unwrapOr(undefined)).data
      if (part === undefined || !part.found) return undefined
      rows.push(...part.rows)
      if (rows.length >= part.total) return { ...part, rows }
      if (part.rows.length === 0) return undefined
    }
  }

  private isHomeGone ({ bound }: ClaimKey): boolean {
    return bound !== undefined && (this.incarnations.get(bound.host) ?? 0) > bound.incarnation
  }

  private isCurrent ({ host, incarnation }: { host: string, incarnation: number }): boolean {
    return incarnation >= (this.incarnations.get(host) ?? 0)
  }

  private noteIncarnation (host: string, incarnation: number): void {
    if (host === this.options.host || incarnation <= (this.incarnations.get(host) ?? 0)) return
    this.incarnations.set(host, incarnation)
    this.home.settleGone((executor) => executor.host === host && executor.incarnation < incarnation)
  }
}

/** Turns a home's final decision into a result for the data path. */
function translate (decision: Decision): Result<ClaimDecision, Failure> {
  const { unknown } = Outcome
  if (decision.kind === 'done' && decision.answer !== undefined) return ok({ kind: 'done', answer: decision.answer })
  if (decision.kind === 'done') {
    return err(createFailure('keyUnknown', { outcome: unknown, message: 'the request with this key ran; its answer is not kept' }))
  }
  if (decision.kind === 'mismatch') return err(createFailure('keyMismatch', { outcome: unknown }))
  // The home remembers all keys and has no room for this one, so the key has certainly not run.
  if (decision.kind === 'full') return err(createFailure('shed', { message: 'the home of this key remembers too many keys', retryAfterMs: 10_000 }))
  if (decision.kind === 'notHome' || decision.kind === 'stopping') {
    return err(createFailure('keyHomeUnreachable', { outcome: unknown, retryAfterMs: 1_000 }))
  }
  return err(createFailure('keyUnknown', { outcome: unknown }))
}

function createResult (message: ClaimMessage, remainingMs: number, { outcome, answer }: Settlement): ResultMessage {
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
