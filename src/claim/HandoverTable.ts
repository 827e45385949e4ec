import { claimLimits } from './claimLimits.js'
import type { HandoverRow } from './HandoverRow.js'

/** States how completely the rows of a handover cover the home's keys. */
interface RecordCoverage {
  /** Sets of configured hosts under which the records were made. */
  readonly hostSets: string[][]
  /** Time in ms from the completion of the handover until the records of hashed keys are complete. */
  readonly incompleteMs: number
}

/** Records that one process of a home has handed over. */
interface Handover {
  readonly incarnation: number
  readonly rows: Map<string, HandoverRow & { receivedAtMs: number }>
  bytes: number
  completedAtMs?: number
  coverage: RecordCoverage
  /** Incarnation of the process that has begun to read the handover; no other process may read it. */
  readerIncarnation?: number
}

/** Consecutive rows of a handover, as many as fit in one frame. */
interface HandoverPage {
  readonly total: number
  readonly rows: HandoverRow[]
  readonly coverage: RecordCoverage
}

/**
 * Handovers that this host holds for stopped homes. A complete handover can be read by one later process and only for
 * a limited time; otherwise a home could load outdated records.
 */
export class HandoverTable {
  private readonly handovers = new Map<string, Handover>()
  /** Latest incarnation of each host that has begun a handover here; older incarnations are refused. */
  private readonly latestIncarnations = new Map<string, number>()

  get size (): number {
    return this.handovers.size
  }

  /** Adds rows; returns false when the handover is outdated, already complete, or too large. */
  add (host: string, incarnation: number, rows: ReadonlyMap<string, HandoverRow>, nowMs: number): boolean {
    const handover = this.openHandover(host, incarnation)
    if (handover === undefined || handover.completedAtMs !== undefined) return false
    for (const [id, row] of rows) {
      if (handover.rows.has(id)) continue
      handover.rows.set(id, { ...row, receivedAtMs: nowMs })
      handover.bytes += row.answer?.body.length ?? 0
    }
    return handover.rows.size <= claimLimits.maxClaims && handover.bytes <= claimLimits.maxAnswerBytes
  }

  /** Marks a handover as complete; returns false when it is outdated or rows are missing. */
  markComplete (host: string, incarnation: number, total: number, coverage: RecordCoverage, nowMs: number): boolean {
    const handover = this.openHandover(host, incarnation)
    if (handover?.rows.size !== total) return false
    handover.completedAtMs ??= nowMs
    handover.coverage = { hostSets: coverage.hostSets, incompleteMs: coverage.incompleteMs }
    return true
  }

  /** Updates a row when a request that was still running at the time of the handover has ended. */
  update (host: string, incarnation: number, id: string, change: Pick<HandoverRow, 'state' | 'answer'> | undefined): void {
    const handover = this.handovers.get(host)
    const row = handover?.rows.get(id)
    if (handover?.incarnation !== incarnation || row === undefined) return
    // The row stays even when the key was not run: the number of rows must not change while they are read frame by frame.
    handover.rows.set(id, { ...row, ...(change ?? { state: 'unknown' }) })
  }

  /** Returns rows from index `from` on for a later process of `host`; undefined when there is no handover that it may read. */
  read (host: string, incarnation: number, from: number, nowMs: number): HandoverPage | undefined {
    const handover = this.handovers.get(host)
    if (handover?.completedAtMs === undefined || incarnation <= handover.incarnation) return undefined
    if (nowMs - handover.completedAtMs >= claimLimits.handoverValidMs) return undefined
    handover.readerIncarnation ??= incarnation
    if (handover.readerIncarnation !== incarnation) return undefined
    const rows: HandoverRow[] = []
    let bytes = 0
    let index = 0
    for (const { receivedAtMs, ...row } of handover.rows.values()) {
      index += 1
      if (index <= from) continue
      rows.push({ ...row, remainingMs: Math.max(0, row.remainingMs - (nowMs - receivedAtMs)) })
      bytes += claimLimits.rowBytes + (row.answer?.body.length ?? 0)
      if (bytes >= claimLimits.handoverFrameBytes) break
    }
    return { total: handover.rows.size, rows, coverage: handover.coverage }
  }

  /** Removes handovers whose time of validity is over. */
  sweep (nowMs: number): void {
    for (const [host, { completedAtMs, rows }] of this.handovers) {
      const fromMs = completedAtMs ?? rows.values().next().value?.receivedAtMs ?? nowMs
      if (nowMs - fromMs >= claimLimits.handoverValidMs) this.handovers.delete(host)
    }
  }

  /** Returns the handover of an incarnation, starting one for a newer incarnation; undefined when it is outdated or expired. */
  private openHandover (host: string, incarnation: number): Handover | undefined {
    const latest = this.latestIncarnations.get(host) ?? -1
    if (incarnation < latest) return undefined
    if (incarnation === latest) return this.handovers.get(host)
    const handover: Handover = { incarnation, rows: new Map(), bytes: 0, coverage: { hostSets: [], incompleteMs: 0 } }
    this.latestIncarnations.set(host, incarnation)
    this.handovers.set(host, handover)
    return handover
  }
}
