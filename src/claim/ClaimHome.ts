import type { z } from 'zod'
import type { ClaimKey } from './ClaimKey.js'
import { claimLimits } from './claimLimits.js'
import type { claimMessages } from './claimMessages.js'
import type { ClaimRow } from './ClaimRow.js'
import type { ClaimServiceOptions } from './ClaimServiceOptions.js'
import { ClaimTable } from './ClaimTable.js'
import type { HandoverRow } from './HandoverRow.js'
import type { HomeMap } from './HomeMap.js'
import { parseClaimKey } from './parseClaimKey.js'

type ClaimMessage = z.infer<typeof claimMessages.claim>
type ResultMessage = z.infer<typeof claimMessages.result>
type Decision = z.infer<typeof claimMessages.decision>
type Executor = ClaimRow['executor']

/** A request that waits for a running key. */
interface Waiter {
  readonly untilMs: number
  readonly resolve: (decision: Decision) => void
}

/** States how completely a predecessor's records cover the keys of this home. */
interface RecordCoverage {
  /** Sets of configured hosts under which the records were made. */
  readonly hostSets: string[][]
  /** Time left in ms until the records of hashed keys are complete. */
  readonly incompleteMs: number
}

/** Decides about the keys whose home is this host. */
export class ClaimHome {
  readonly table = new ClaimTable()
  private readonly waiters = new Map<string, Set<Waiter>>()
  private waiterCount = 0
  /** Time in ms from which the records of hashed keys are complete. */
  private completeFromMs: number
  /** True once a planned stop has begun; from then on no key is granted or adopted. */
  private isFrozen = false
  /** Host that receives this home's handover. */
  private handoverHost: string | undefined
  /** Time in ms until which claims do not wait for a witness, by host name. */
  private readonly witnessPauses = new Map<string, number>()

  constructor (
    private readonly options: ClaimServiceOptions,
    private readonly homes: HomeMap,
    /** Returns false for a process that has been replaced by a later one. */
    private readonly isCurrent: (executor: Executor) => boolean
  ) {
    this.completeFromMs = options.clock.nowMs() + claimLimits.recordRetentionMs
  }

  get waiting (): number {
    return this.waiterCount
  }

  /** Decides about a claim. A granted key is first copied to its witness, which is waited for up to 50 ms. */
  async claim (message: ClaimMessage, executor: Executor): Promise<Decision> {
    const nowMs = this.options.clock.nowMs()
    const key = this.parse(message)
    if (key === undefined) return createDecision('notHome')
    const refusal = this.findRefusal(key, executor)
    if (refusal !== undefined) return refusal
    const tableDecision = this.table.claim({ ...message, id: key.id, executor, complete: this.isComplete(key, nowMs) }, nowMs)
    if (tableDecision.kind === 'done') return createDoneDecision(tableDecision.row)
    if (tableDecision.kind === 'running') return await this.wait(key.id, message.waitMs, nowMs)
    if (tableDecision.kind === 'granted') await this.copyToWitness(key.id, this.table.get(key.id)!, true)
    return createDecision(tableDecision.kind)
  }

  /** Applies the settlement of a claim. A key without a row is adopted, since it may have run. */
  settle (message: ResultMessage, executor: Executor): void {
    const nowMs = this.options.clock.nowMs()
    const key = this.parse(message)
    if (key === undefined) return
    const { id } = key
    const changed = this.table.settle(id, message.claimId, message, nowMs)
    if (changed === undefined) {
      this.adoptSettlement(key, message, executor, nowMs)
      return
    }
    const isAbsent = message.outcome === 'notRun'
    this.resolveWaiters(id, isAbsent ? createDecision('retry') : changed.state === 'done' ? createDoneDecision(changed) : createDecision('unknown'))
    this.copyToWitness(id, changed, false, isAbsent)
  }

  /** Marks the keys that run in processes for which `isGone` is true as unknown. */
  settleGone (isGone: (executor: Executor) => boolean): void {
    for (const id of this.table.settleGone(isGone, this.options.clock.nowMs())) this.publishUnknown(id)
  }

  tick (nowMs: number): void {
    for (const id of this.table.sweep(nowMs)) this.publishUnknown(id)
    for (const [id, waiters] of this.waiters) {
      for (const waiter of waiters) if (waiter.untilMs <= nowMs) this.resolveWaiter(id, waiter, createDecision('running'))
    }
  }

  /** Returns true when the records of this home prove that the key has not been granted. */
  isUnused (customer: string, key: string): boolean {
    const parsed = this.parse({ customer, key })
    if (parsed === undefined || this.table.get(parsed.id) !== undefined) return false
    if (parsed.bound !== undefined && parsed.bound.incarnation !== this.options.incarnation) return false
    return this.isComplete(parsed, this.options.clock.nowMs())
  }

  /** Loads the complete records of the process that ran before on this host. */
  loadHandover (rows: readonly HandoverRow[], coverage: RecordCoverage): void {
    const nowMs = this.options.clock.nowMs()
    for (const { remainingMs, ...row } of rows) {
      const key = this.parse(row)
      if (key === undefined) continue
      const state = row.state === 'running' && !this.isCurrent(row.executor) ? 'unknown' : row.state
      this.table.adopt(key.id, { ...row, state, expiresAtMs: nowMs + remainingMs }, nowMs)
    }
    this.homes.addFormerSets(coverage.hostSets)
    this.completeFromMs = Math.min(this.completeFromMs, nowMs + coverage.incompleteMs)
  }

  /** Records that no earlier process of this host can have granted a key. */
  markRecordsComplete (): void {
    this.completeFromMs = Math.min(this.completeFromMs, this.options.clock.nowMs())
  }

  /** Stops granting and adopting keys and returns the records for the handover. */
  freeze (): { rows: HandoverRow[], coverage: RecordCoverage } {
    this.isFrozen = true
    const nowMs = this.options.clock.nowMs()
    const rows = [...this.table.entries()].map(([, { expiresAtMs, answer, ...row }]) => ({
      ...row,
      remainingMs: Math.max(0, expiresAtMs - nowMs),
      ...(answer === undefined ? {} : { answer })
    }))
    return { rows, coverage: { hostSets: this.homes.hostSets, incompleteMs: Math.max(0, this.completeFromMs - nowMs) } }
  }

  /** Sets the host that receives the handover; from now on it also gets a copy of each settlement. */
  setHandoverHost (host: string): void {
    this.handoverHost = host
  }

  private parse ({ customer, key }: { customer: string, key: string }): ClaimKey | undefined {
    const parsed = parseClaimKey(customer, key, this.homes.bindableHosts)
    return parsed !== undefined && this.homes.findHome(parsed) === this.options.host ? parsed : undefined
  }

  private findRefusal (key: ClaimKey, executor: Executor): Decision | undefined {
    if (!this.isCurrent(executor)) return createDecision('unknown')
    if (this.table.get(key.id) !== undefined) return undefined
    if (key.bound !== undefined && key.bound.incarnation !== this.options.incarnation) return createDecision('gone')
    return this.isFrozen ? createDecision('stopping') : undefined
  }

  /** Returns true when a key without a row has certainly not been granted within the record retention time. */
  private isComplete (key: ClaimKey, nowMs: number): boolean {
    if (key.bound !== undefined) return true
    return nowMs >= this.completeFromMs && this.homes.hadSameHome(key, this.options.host)
  }

  private adoptSettlement (key: ClaimKey, message: ResultMessage, executor: Executor, nowMs: number): void {
    const { outcome, customer, fingerprint, claimId, remainingMs, answer } = message
    if (outcome === 'notRun' || this.isFrozen) return
    const state = outcome === 'running' && !this.isCurrent(executor) ? 'unknown' : outcome
    const expiresAtMs = nowMs + Math.min(remainingMs, claimLimits.maxRequestMs) + claimLimits.deadlineGraceMs
    const row: ClaimRow = { customer, key: message.key, fingerprint, executor, claimId, state, expiresAtMs, answer }
    if (this.table.adopt(key.id, row, nowMs)) this.copyToWitness(key.id, row, false)
  }

  private async wait (id: string, waitMs: number, nowMs: number): Promise<Decision> {
    if (waitMs <= 0 || this.waiterCount >= claimLimits.maxWaiters) return createDecision('running')
    return await new Promise((resolve) => {
      const waiters = this.waiters.get(id) ?? new Set()
      this.waiters.set(id, waiters)
      waiters.add({ untilMs: nowMs + Math.min(waitMs, claimLimits.longPollMs), resolve })
      this.waiterCount += 1
    })
  }

  private resolveWaiters (id: string, decision: Decision): void {
    for (const waiter of this.waiters.get(id) ?? []) this.resolveWaiter(id, waiter, decision)
  }

  private resolveWaiter (id: string, waiter: Waiter, decision: Decision): void {
    const waiters = this.waiters.get(id)
    if (waiters?.delete(waiter) !== true) return
    this.waiterCount -= 1
    if (waiters.size === 0) this.waiters.delete(id)
    waiter.resolve(decision)
  }

  private publishUnknown (id: string): void {
    this.resolveWaiters(id, createDecision('unknown'))
    const row = this.table.get(id)
    if (row !== undefined) this.copyToWitness(id, row, false)
  }

  /** Copies a row to the witness. A wait for its answer takes at most 50 ms and is skipped for a time after the witness has failed to answer. */
  private async copyToWitness (id: string, row: ClaimRow, awaitsAnswer: boolean, isAbsent = false): Promise<void> {
    const { host, clock, messenger } = this.options
    const { customer, key, fingerprint, answer } = row
    const copy = { t: 'claim_copy', customer, key, fingerprint, state: isAbsent ? 'absent' : row.state, ...(answer === undefined ? {} : { answer }) }
    if (this.handoverHost !== undefined) messenger.request(this.handoverHost, copy, claimLimits.homeTimeoutMs)
    const witness = this.homes.findWitness(id, host)
    if (witness === undefined || witness === this.handoverHost) return
    const isPaused = (this.witnessPauses.get(witness) ?? -Infinity) > clock.nowMs()
    if (!awaitsAnswer || isPaused) {
      messenger.notify(witness, copy)
      return
    }
    const answered = await messenger.request(witness, copy, claimLimits.witnessWaitMs)
    if (answered.isErr()) this.witnessPauses.set(witness, clock.nowMs() + claimLimits.witnessPauseMs)
  }
}

function createDecision (kind: Decision['kind']): Decision {
  return { t: 'claim_answer', kind }
}

function createDoneDecision ({ answer }: ClaimRow): Decision {
  const decision = createDecision('done')
  return answer === undefined ? decision : { ...decision, answer }
}
