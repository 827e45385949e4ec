import { claimLimits } from './claimLimits.js'
import type { HandoverRow } from './HandoverRow.js'

/** What the rows of a handover leave open. */
interface HandoverMemory {
  /** Sets of configured hosts under which the memory was made. */
  readonly hostSets: string[][]
  /** Time in ms, counted from the complete mark, until the memory of hashed keys is complete. */
  readonly incompleteMs: number
}

/** Memory that one process of a home has handed over. */
interface Handover {
  readonly incarnation: number
  readonly rows: Map<string, HandoverRow & { receivedMs: number }>
  bytes: number
  completeMs?: number
  memory: HandoverMemory
  /** Incarnation of the process that has begun to read; no other one may. */
  takenBy?: number
}

/** Part of a handover. */
interface HandoverPart {
  readonly total: number
  readonly rows: HandoverRow[]
  readonly memory: HandoverMemory
}

/**
 * Handovers that this host keeps for homes that were stopped. A handover is given to one later process, once
 * it is complete, and only for a limited time; otherwise a home could be told an outdated memory.
 */
export class HandoverTable {
  private readonly handovers = new Map<string, Handover>()
  /** Latest incarnation of each host whose handover was begun here; older ones are refused. */
  private readonly latest = new Map<string, number>()

  get size (): number {
    return this.handovers.size
  }

  /** Adds rows; false when the handover is out of date, complete already, or too large. */
  add (host: string, incarnation: number, rows: ReadonlyMap<string, HandoverRow>, nowMs: number): boolean {
    const handover = this.open(host, incarnation)
    if (handover === undefined || handover.completeMs !== undefined) return false
    for (const [id, row] of rows) {
      if (handover.rows.has(id)) continue
      handover.rows.set(id, { ...row, receivedMs: nowMs })
      handover.bytes += row.answer?.body.length ?? 0
    }
    return handover.rows.size <= claimLimits.maxClaims && handover.bytes <= claimLimits.maxAnswerBytes
  }

  /** Marks a handover as complete; false when rows are missing. */
  complete (host: string, incarnation: number, total: number, memory: HandoverMemory, nowMs: number): boolean {
    const handover = this.open(host, incarnation)
    if (handover?.rows.size !== total) return false
    handover.completeMs ??= nowMs
    handover.memory = { hostSets: memory.hostSets, incompleteMs: memory.incompleteMs }
    return true
  }

  /** Changes a row after the handover, when a request that ran during it has ended. */
  update (host: string, incarnation: number, id: string, change: Pick<HandoverRow, 'state' | 'answer'> | undefined): void {
    const handover = this.handovers.get(host)
    const row = handover?.rows.get(id)
    if (handover?.incarnation !== incarnation || row === undefined) return
    // The number of rows must not change while a reader goes through them.
    handover.rows.set(id, { ...row, ...(change ?? { state: 'unknown' }) })
  }

  /** Reads rows from number `from` on for a later process of `host`. */
  read (host: string, incarnation: number, from: number, nowMs: number): HandoverPart | undefined {
    const handover = this.handovers.get(host)
    if (handover?.completeMs === undefined || incarnation <= handover.incarnation) return undefined
    if (nowMs - handover.completeMs >= claimLimits.handoverValidMs) return undefined
    handover.takenBy ??= incarnation
    if (handover.takenBy !== incarnation) return undefined
    const rows: HandoverRow[] = []
    let bytes = 0
    let index = 0
    for (const { receivedMs, ...row } of handover.rows.values()) {
      index += 1
      if (index <= from) continue
      rows.push({ ...row, remainingMs: Math.max(0, row.remainingMs - (nowMs - receivedMs)) })
      bytes += claimLimits.rowBytes + (row.answer?.body.length ?? 0)
      if (bytes >= claimLimits.handoverFrameBytes) break
    }
    return { total: handover.rows.size, rows, memory: handover.memory }
  }

  /** Forgets handovers that can't be used any more. */
  sweep (nowMs: number): void {
    for (const [host, { completeMs, rows }] of this.handovers) {
      const fromMs = completeMs ?? rows.values().next().value?.receivedMs ?? nowMs
      if (nowMs - fromMs >= claimLimits.handoverValidMs) this.handovers.delete(host)
    }
  }

  private open (host: string, incarnation: number): Handover | undefined {
    const latest = this.latest.get(host) ?? -1
    if (incarnation < latest) return undefined
    if (incarnation === latest) return this.handovers.get(host)
    const handover: Handover = { incarnation, rows: new Map(), bytes: 0, memory: { hostSets: [], incompleteMs: 0 } }
    this.latest.set(host, incarnation)
    this.handovers.set(host, handover)
    return handover
  }
}
