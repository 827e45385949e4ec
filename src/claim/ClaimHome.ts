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

/** What a predecessor's handover says about its memory. */
interface Memory {
  readonly hostSets: string[][]
  readonly incompleteMs: number
}

/** Decides about the keys whose home is this host. */
export class ClaimHome {
  readonly table = new ClaimTable()
  private readonly waiters = new Map<string, Set<Waiter>>()
  private waiterCount = 0
  /** Time from which the memory of hashed keys is complete. */
  private completeFromMs: number
  /** Set by a planned stop; no key is granted or taken over any more. */
  private frozen = false
  /** Host that has this home's handover. */
  private holder: string | undefined
  /** Time until which the witness of each host name is not waited for. */
  private readonly witnessPauses = new Map<string, number>()

  constructor (
    private readonly options: ClaimServiceOptions,
    private readonly map: HomeMap,
    /** False for a process that is known to be gone. */
    private readonly isCurrent: (executor: Executor) => boolean
  ) {
    this.completeFromMs = options.clock.nowMs() + claimLimits.memoryMs
  }

  get waiting (): number {
    return this.waiterCount
  }

  /** Decides about a claim. A granted key is first copied to its witness, for at most 50 ms. */
  async claim (message: ClaimMessage, executor: Executor): Promise<Decision> {
    const nowMs = this.options.clock.nowMs()
    const key = this.parse(message)
    if (key === undefined) return decide('notHome')
    const refusal = this.findRefusal(key, executor)
    if (refusal !== undefined) return refusal
    const verdict = this.table.claim({ ...message, id: key.id, executor, complete: this.isComplete(key, nowMs) }, nowMs)
    if (verdict.kind === 'done') return decideDone(verdict.row)
    if (verdict.kind === 'running') return await this.wait(key.id, message.waitMs, nowMs)
    if (verdict.kind === 'granted') await this.copyToWitness(key.id, this.table.get(key.id)!, true)
    return decide(verdict.kind)
  }

  /** Applies how a claim ended. A key that this home does not know is taken over, since it may have run. */
  settle (message: ResultMessage, executor: Executor): void {
    const nowMs = this.options.clock.nowMs()
    const key = this.parse(message)
    if (key === undefined) return
    const { id } = key
    const changed = this.table.settle(id, message.claimId, message, nowMs)
    if (changed === undefined) {
      this.adoptResult(key, message, executor, nowMs)
      return
    }
    const isAbsent = message.outcome === 'notRun'
    this.wake(id, isAbsent ? decide('retry') : changed.state === 'done' ? decideDone(changed) : decide('unknown'))
    this.copyToWitness(id, changed, false, isAbsent)
  }

  /** Marks the keys that run in processes which are gone as unknown. */
  settleGone (isGone: (executor: Executor) => boolean): void {
    for (const id of this.table.settleGone(isGone, this.options.clock.nowMs())) this.noteUnknown(id)
  }

  tick (nowMs: number): void {
    for (const id of this.table.sweep(nowMs)) this.noteUnknown(id)
    for (const [id, waiters] of this.waiters) {
      for (const waiter of waiters) if (waiter.untilMs <= nowMs) this.finish(id, waiter, decide('running'))
    }
  }

  /** True when this home has complete memory of the key and has not granted it. */
  isUnused (customer: string, key: string): boolean {
    const parsed = this.parse({ customer, key })
    if (parsed === undefined || this.table.get(parsed.id) !== undefined) return false
    if (parsed.bound !== undefined && parsed.bound.incarnation !== this.options.incarnation) return false
    return this.isComplete(parsed, this.options.clock.nowMs())
  }

  /** Takes over the complete memory of the process that ran before on this host. */
  load (rows: readonly HandoverRow[], memory: Memory): void {
    const nowMs = this.options.clock.nowMs()
    for (const { remainingMs, ...row } of rows) {
      const key = this.parse(row)
      if (key === undefined) continue
      const state = row.state === 'running' && !this.isCurrent(row.executor) ? 'unknown' : row.state
      this.table.adopt(key.id, { ...row, state, endsAtMs: nowMs + remainingMs }, nowMs)
    }
    this.map.addFormer(memory.hostSets)
    this.completeFromMs = Math.min(this.completeFromMs, nowMs + memory.incompleteMs)
  }

  /** No earlier process of this host can have granted a key. */
  markComplete (): void {
    this.completeFromMs = Math.min(this.completeFromMs, this.options.clock.nowMs())
  }

  /** Grants nothing from now on and returns the memory for the handover. */
  freeze (): { rows: HandoverRow[], memory: Memory } {
    this.frozen = true
    const nowMs = this.options.clock.nowMs()
    const rows = [...this.table.entries()].map(([, { endsAtMs, answer, ...row }]) => ({
      ...row,
      remainingMs: Math.max(0, endsAtMs - nowMs),
      ...(answer === undefined ? {} : { answer })
    }))
    return { rows, memory: { hostSets: this.map.hostSets, incompleteMs: Math.max(0, this.completeFromMs - nowMs) } }
  }

  /** Names the host that has the handover; it is told of settlements from now on. */
  setHolder (holder: string): void {
    this.holder = holder
  }

  private parse ({ customer, key }: { customer: string, key: string }): ClaimKey | undefined {
    const parsed = parseClaimKey(customer, key, this.map.boundNames)
    return parsed !== undefined && this.map.findHome(parsed) === this.options.host ? parsed : undefined
  }

  private findRefusal (key: ClaimKey, executor: Executor): Decision | undefined {
    if (!this.isCurrent(executor)) return decide('unknown')
    if (this.table.get(key.id) !== undefined) return undefined
    if (key.bound !== undefined && key.bound.incarnation !== this.options.incarnation) return decide('gone')
    return this.frozen ? decide('stopping') : undefined
  }

  /** True when a key that the table does not know was certainly not granted within the time of its memory. */
  private isComplete (key: ClaimKey, nowMs: number): boolean {
    if (key.bound !== undefined) return true
    return nowMs >= this.completeFromMs && this.map.hadSameHome(key, this.options.host)
  }

  private adoptResult (key: ClaimKey, message: ResultMessage, executor: Executor, nowMs: number): void {
    const { outcome, customer, fingerprint, claimId, remainingMs, answer } = message
    if (outcome === 'notRun' || this.frozen) return
    const state = outcome === 'running' && !this.isCurrent(executor) ? 'unknown' : outcome
    const endsAtMs = nowMs + Math.min(remainingMs, claimLimits.maxRequestMs) + claimLimits.deadlineGraceMs
    const row: ClaimRow = { customer, key: message.key, fingerprint, executor, claimId, state, endsAtMs, answer }
    if (this.table.adopt(key.id, row, nowMs)) this.copyToWitness(key.id, row, false)
  }

  private async wait (id: string, waitMs: number, nowMs: number): Promise<Decision> {
    if (waitMs <= 0 || this.waiterCount >= claimLimits.maxWaiters) return decide('running')
    return await new Promise((resolve) => {
      const waiters = this.waiters.get(id) ?? new Set()
      this.waiters.set(id, waiters)
      waiters.add({ untilMs: nowMs + Math.min(waitMs, claimLimits.waitSliceMs), resolve })
      this.waiterCount += 1
    })
  }

  private wake (id: string, decision: Decision): void {
    for (const waiter of this.waiters.get(id) ?? []) this.finish(id, waiter, decision)
  }

  private finish (id: string, waiter: Waiter, decision: Decision): void {
    const waiters = this.waiters.get(id)
    if (waiters?.delete(waiter) !== true) return
    this.waiterCount -= 1
    if (waiters.size === 0) this.waiters.delete(id)
    waiter.resolve(decision)
  }

  private noteUnknown (id: string): void {
    this.wake(id, decide('unknown'))
    const row = this.table.get(id)
    if (row !== undefined) this.copyToWitness(id, row, false)
  }

  /** Copies a row; the wait ends after 50 ms, and is left out while the witness does not answer. */
  private async copyToWitness (id: string, row: ClaimRow, wait: boolean, isAbsent = false): Promise<void> {
    const { host, clock, messenger } = this.options
    const { customer, key, fingerprint, answer } = row
    const copy = { t: 'claim_copy', customer, key, fingerprint, state: isAbsent ? 'absent' : row.state, ...(answer === undefined ? {} : { answer }) }
    if (this.holder !== undefined) messenger.request(this.holder, copy, claimLimits.homeTimeoutMs)
    const witness = this.map.findWitness(id, host)
    if (witness === undefined || witness === this.holder) return
    const isPaused = (this.witnessPauses.get(witness) ?? -Infinity) > clock.nowMs()
    if (!wait || isPaused) {
      messenger.notify(witness, copy)
      return
    }
    const answered = await messenger.request(witness, copy, claimLimits.witnessWaitMs)
    if (answered.isErr()) this.witnessPauses.set(witness, clock.nowMs() + claimLimits.witnessPauseMs)
  }
}

function decide (kind: Decision['kind']): Decision {
  return { t: 'claim_answer', kind }
}

function decideDone ({ answer }: ClaimRow): Decision {
  const decision = decide('done')
  return answer === undefined ? decision : { ...decision, answer }
}
