import { claimLimits } from './claimLimits.js'
import type { ClaimRow } from './ClaimRow.js'
import type { Settlement } from './Settlement.js'

/** Request of a process for a claim on a key. */
interface ClaimTableRequest {
  readonly id: string
  readonly customer: string
  readonly key: string
  readonly fingerprint: string
  readonly claimId: string
  readonly executor: { readonly host: string, readonly incarnation: number }
  /** Time left until the request's deadline, in ms. */
  readonly remainingMs: number
  /** False when a key without a row may have been claimed before. */
  readonly complete: boolean
}

/** Decision of the table about one request. */
type ClaimTableDecision =
  | { readonly kind: 'granted' | 'running' | 'mismatch' | 'unknown' | 'incomplete' | 'full' }
  | { readonly kind: 'done', readonly row: ClaimRow }

/** Size limits of a table. */
interface ClaimTableLimits {
  readonly maxClaims: number
  readonly maxClaimsPerCustomer: number
  readonly maxAnswerBytes: number
}

const defaultLimits: ClaimTableLimits = {
  maxClaims: claimLimits.maxClaims,
  maxClaimsPerCustomer: claimLimits.maxClaims / 4,
  maxAnswerBytes: claimLimits.maxAnswerBytes
}
const maxReleased = 10_000

/** A home's records of keys. A granted key stays for the record retention time after its settlement. */
export class ClaimTable {
  private readonly rows = new Map<string, ClaimRow>()
  /** Running keys, which are scanned for passed deadlines and gone executors. */
  private readonly running = new Set<string>()
  /** Settled keys in the order of settlement, with the time of settlement. */
  private readonly settled = new Map<string, number>()
  /** Keys with a stored answer, the oldest first, with the size of the answer in bytes. */
  private readonly answers = new Map<string, number>()
  private readonly perCustomer = new Map<string, number>()
  /** Ids of claims that were released without running; a repeated or late request with the same id is not granted. */
  private readonly released = new Set<string>()
  private answerBytes = 0

  constructor (private readonly limits: ClaimTableLimits = defaultLimits) {}

  get size (): number {
    return this.rows.size
  }

  /** Bytes of stored answers. */
  get bytes (): number {
    return this.answerBytes
  }

  get (id: string): ClaimRow | undefined {
    return this.rows.get(id)
  }

  entries (): IterableIterator<[string, ClaimRow]> {
    return this.rows.entries()
  }

  claim (request: ClaimTableRequest, nowMs: number): ClaimTableDecision {
    const row = this.rows.get(request.id)
    if (row !== undefined) return decideKnownKey(row, request)
    if (!request.complete || this.released.has(request.claimId)) return { kind: 'incomplete' }
    if (!this.hasRoom(request.customer)) return { kind: 'full' }
    const { customer, key, fingerprint, claimId, executor } = request
    const expiresAtMs = nowMs + Math.min(request.remainingMs, claimLimits.maxRequestMs) + claimLimits.deadlineGraceMs
    this.insert(request.id, { customer, key, fingerprint, executor, claimId, state: 'running', expiresAtMs }, nowMs)
    return { kind: 'granted' }
  }

  /** Applies the settlement of a claim; returns the row when it changed, else undefined. */
  settle (id: string, claimId: string, settlement: Settlement, nowMs: number): ClaimRow | undefined {
    const row = this.rows.get(id)
    if (row === undefined || row.claimId !== claimId) {
      if (settlement.outcome === 'notRun') this.recordReleased(claimId)
      return undefined
    }
    if (row.state === 'done' || settlement.outcome === 'running') return undefined
    if (settlement.outcome === 'notRun') {
      this.recordReleased(claimId)
      this.remove(id)
      return row
    }
    if (row.state === settlement.outcome) return undefined
    row.state = settlement.outcome
    this.recordSettled(id, nowMs)
    if (settlement.answer !== undefined) this.storeAnswer(id, row, settlement)
    return row
  }

  /** Adds a row from the records of another process. Returns false when the key has a row, the claim was released, or the table is full. */
  adopt (id: string, row: ClaimRow, nowMs: number): boolean {
    if (this.rows.has(id) || this.released.has(row.claimId) || !this.hasRoom(row.customer)) return false
    this.insert(id, { ...row, answer: undefined }, nowMs)
    if (row.answer !== undefined) this.storeAnswer(id, this.rows.get(id)!, { outcome: 'done', answer: row.answer })
    return true
  }

  /** Marks the running keys of processes for which `isGone` is true as unknown and returns their ids. */
  settleGone (isGone: (executor: ClaimRow['executor']) => boolean, nowMs: number): string[] {
    return this.settleRunning((row) => isGone(row.executor), nowMs)
  }

  /** Removes settled keys after the record retention time, marks overdue keys as unknown and returns the ids of the overdue keys. */
  sweep (nowMs: number): string[] {
    for (const [id, settledMs] of this.settled) {
      if (nowMs - settledMs < claimLimits.recordRetentionMs) break
      this.remove(id)
    }
    return this.settleRunning((row) => nowMs >= row.expiresAtMs, nowMs)
  }

  private settleRunning (predicate: (row: ClaimRow) => boolean, nowMs: number): string[] {
    const ids: string[] = []
    for (const id of this.running) {
      const row = this.rows.get(id)!
      if (!predicate(row)) continue
      row.state = 'unknown'
      this.recordSettled(id, nowMs)
      ids.push(id)
    }
    return ids
  }

  private insert (id: string, row: ClaimRow, nowMs: number): void {
    this.rows.set(id, row)
    this.perCustomer.set(row.customer, (this.perCustomer.get(row.customer) ?? 0) + 1)
    if (row.state === 'running') this.running.add(id)
    else this.recordSettled(id, nowMs)
  }

  private remove (id: string): void {
    const row = this.rows.get(id)
    if (row === undefined) return
    this.rows.delete(id)
    this.running.delete(id)
    this.settled.delete(id)
    this.dropAnswer(id, row)
    const remaining = (this.perCustomer.get(row.customer) ?? 0) - 1
    if (remaining > 0) this.perCustomer.set(row.customer, remaining)
    else this.perCustomer.delete(row.customer)
  }

  private recordSettled (id: string, nowMs: number): void {
    this.running.delete(id)
    this.settled.delete(id)
    this.settled.set(id, nowMs)
  }

  private recordReleased (claimId: string): void {
    this.released.add(claimId)
    if (this.released.size <= maxReleased) return
    const oldest = this.released.values().next().value
    if (oldest !== undefined) this.released.delete(oldest)
  }

  private hasRoom (customer: string): boolean {
    return this.rows.size < this.limits.maxClaims &&
      (this.perCustomer.get(customer) ?? 0) < this.limits.maxClaimsPerCustomer
  }

  private storeAnswer (id: string, row: ClaimRow, { answer }: Settlement): void {
    if (answer === undefined || answer.body.length > claimLimits.maxAnswerBodyBytes) return
    const bytes = measureAnswer(answer)
    row.answer = answer
    this.answers.set(id, bytes)
    this.answerBytes += bytes
    for (const oldest of this.answers.keys()) {
      if (this.answerBytes <= this.limits.maxAnswerBytes) break
      this.dropAnswer(oldest, this.rows.get(oldest)!)
    }
  }

  private dropAnswer (id: string, row: ClaimRow): void {
    this.answerBytes -= this.answers.get(id) ?? 0
    this.answers.delete(id)
    row.answer = undefined
  }
}

function decideKnownKey (row: ClaimRow, request: ClaimTableRequest): ClaimTableDecision {
  if (row.fingerprint !== request.fingerprint) return { kind: 'mismatch' }
  if (row.state === 'done') return { kind: 'done', row }
  if (row.state === 'unknown') return { kind: 'unknown' }
  return { kind: row.claimId === request.claimId ? 'granted' : 'running' }
}

/** Returns the size of an answer in bytes, with its headers counted by their text length. */
function measureAnswer (answer: NonNullable<Settlement['answer']>): number {
  const headers = Object.entries(answer.headers)
  return answer.body.length + headers.reduce((sum, [name, value]) => sum + name.length + String(value).length, 0)
}
