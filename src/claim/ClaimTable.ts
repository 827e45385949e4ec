import { claimLimits } from './claimLimits.js'
import type { ClaimRow } from './ClaimRow.js'
import type { Settlement } from './Settlement.js'

/** A process that asks for a claim on a key. */
interface ClaimAsk {
  readonly id: string
  readonly customer: string
  readonly key: string
  readonly fingerprint: string
  readonly claimId: string
  readonly executor: { readonly host: string, readonly incarnation: number }
  /** Time left until the request's deadline, in ms. */
  readonly remainingMs: number
  /** False when keys that the table does not know may have been claimed before. */
  readonly complete: boolean
}

/** Decision of a home about one ask. */
type ClaimVerdict =
  | { readonly kind: 'granted' | 'running' | 'mismatch' | 'unknown' | 'incomplete' | 'full' }
  | { readonly kind: 'done', readonly row: ClaimRow }

/** Bounds of a table. */
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

/** A home's memory of keys. A key that was granted stays until it is settled and the retention time is over. */
export class ClaimTable {
  private readonly rows = new Map<string, ClaimRow>()
  /** Keys that run; looked through for deadlines and dead executors. */
  private readonly running = new Set<string>()
  /** Settled keys in order of settlement, with its time. */
  private readonly settled = new Map<string, number>()
  /** Keys with a kept answer, the oldest first, with its bytes. */
  private readonly answers = new Map<string, number>()
  private readonly perCustomer = new Map<string, number>()
  /** Claims that were given back; a repeated or late ask for them is not granted again. */
  private readonly released = new Set<string>()
  private answerBytes = 0

  constructor (private readonly limits: ClaimTableLimits = defaultLimits) {}

  get size (): number {
    return this.rows.size
  }

  /** Bytes of kept answers. */
  get bytes (): number {
    return this.answerBytes
  }

  get (id: string): ClaimRow | undefined {
    return this.rows.get(id)
  }

  entries (): IterableIterator<[string, ClaimRow]> {
    return this.rows.entries()
  }

  claim (ask: ClaimAsk, nowMs: number): ClaimVerdict {
    const row = this.rows.get(ask.id)
    if (row !== undefined) return judgeKnownKey(row, ask)
    if (!ask.complete || this.released.has(ask.claimId)) return { kind: 'incomplete' }
    if (!this.hasRoom(ask.customer)) return { kind: 'full' }
    const { customer, key, fingerprint, claimId, executor } = ask
    const endsAtMs = nowMs + Math.min(ask.remainingMs, claimLimits.maxRequestMs) + claimLimits.deadlineGraceMs
    this.insert(ask.id, { customer, key, fingerprint, executor, claimId, state: 'running', endsAtMs }, nowMs)
    return { kind: 'granted' }
  }

  /** Applies a settlement by its claim; returns the row when it changed, or undefined. */
  settle (id: string, claimId: string, settlement: Settlement, nowMs: number): ClaimRow | undefined {
    const row = this.rows.get(id)
    if (row === undefined || row.claimId !== claimId) {
      if (settlement.outcome === 'notRun') this.noteReleased(claimId)
      return undefined
    }
    if (row.state === 'done' || settlement.outcome === 'running') return undefined
    if (settlement.outcome === 'notRun') {
      this.noteReleased(claimId)
      this.remove(id)
      return row
    }
    if (row.state === settlement.outcome) return undefined
    row.state = settlement.outcome
    this.noteSettled(id, nowMs)
    if (settlement.answer !== undefined) this.keepAnswer(id, row, settlement)
    return row
  }

  /** Takes over a row that another process remembers; a known key and a given back claim stay as they are. */
  adopt (id: string, row: ClaimRow, nowMs: number): boolean {
    if (this.rows.has(id) || this.released.has(row.claimId) || !this.hasRoom(row.customer)) return false
    this.insert(id, { ...row, answer: undefined }, nowMs)
    if (row.answer !== undefined) this.keepAnswer(id, this.rows.get(id)!, { outcome: 'done', answer: row.answer })
    return true
  }

  /** Marks running keys of processes for which `isGone` holds as unknown; returns their ids. */
  settleGone (isGone: (executor: ClaimRow['executor']) => boolean, nowMs: number): string[] {
    return this.settleRunning((row) => isGone(row.executor), nowMs)
  }

  /** Marks overdue keys as unknown and forgets settled keys after the retention time; returns the overdue ids. */
  sweep (nowMs: number): string[] {
    for (const [id, settledMs] of this.settled) {
      if (nowMs - settledMs < claimLimits.memoryMs) break
      this.remove(id)
    }
    return this.settleRunning((row) => nowMs >= row.endsAtMs, nowMs)
  }

  private settleRunning (test: (row: ClaimRow) => boolean, nowMs: number): string[] {
    const ids: string[] = []
    for (const id of this.running) {
      const row = this.rows.get(id)!
      if (!test(row)) continue
      row.state = 'unknown'
      this.noteSettled(id, nowMs)
      ids.push(id)
    }
    return ids
  }

  private insert (id: string, row: ClaimRow, nowMs: number): void {
    this.rows.set(id, row)
    this.perCustomer.set(row.customer, (this.perCustomer.get(row.customer) ?? 0) + 1)
    if (row.state === 'running') this.running.add(id)
    else this.noteSettled(id, nowMs)
  }

  private remove (id: string): void {
    const row = this.rows.get(id)
    if (row === undefined) return
    this.rows.delete(id)
    this.running.delete(id)
    this.settled.delete(id)
    this.dropAnswer(id, row)
    const left = (this.perCustomer.get(row.customer) ?? 0) - 1
    if (left > 0) this.perCustomer.set(row.customer, left)
    else this.perCustomer.delete(row.customer)
  }

  private noteSettled (id: string, nowMs: number): void {
    this.running.delete(id)
    this.settled.delete(id)
    this.settled.set(id, nowMs)
  }

  private noteReleased (claimId: string): void {
    this.released.add(claimId)
    if (this.released.size <= maxReleased) return
    const oldest = this.released.values().next().value
    if (oldest !== undefined) this.released.delete(oldest)
  }

  private hasRoom (customer: string): boolean {
    return this.rows.size < this.limits.maxClaims &&
      (this.perCustomer.get(customer) ?? 0) < this.limits.maxClaimsPerCustomer
  }

  private keepAnswer (id: string, row: ClaimRow, { answer }: Settlement): void {
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

function judgeKnownKey (row: ClaimRow, ask: ClaimAsk): ClaimVerdict {
  if (row.fingerprint !== ask.fingerprint) return { kind: 'mismatch' }
  if (row.state === 'done') return { kind: 'done', row }
  if (row.state === 'unknown') return { kind: 'unknown' }
  return { kind: row.claimId === ask.claimId ? 'granted' : 'running' }
}

/** Bytes of an answer, with its headers counted as text. */
function measureAnswer (answer: NonNullable<Settlement['answer']>): number {
  const headers = Object.entries(answer.headers)
  return answer.body.length + headers.reduce((sum, [name, value]) => sum + name.length + String(value).length, 0)
}
