import { Table } from '../common/Table.js'
import type { RegionMove } from './RegionMove.js'

/** Requests of one customer for one service in one other region. */
interface PacedMove {
  inFlight: number
  /** Requests that may be in flight now. */
  limit: number
  updatedAtMs: number
}

const minLimit = 1
const msPerSecond = 1_000

/**
 * Limits how fast a customer's traffic may move to another region. The limit grows while it is reached and shrinks at
 * the same rate otherwise, so that a region can warm up before it gets much traffic.
 */
export class MovePacer {
  private readonly rows = new Table<PacedMove>()

  /** Returns true when one more request may go to the region now. */
  allows (move: RegionMove): boolean {
    const row = this.updateMove(move)
    return row.inFlight + 1 <= Math.floor(row.limit)
  }

  /** Counts a request as in flight in the region and returns the function to call when it has ended. */
  begin (move: RegionMove): () => void {
    const row = this.updateMove(move)
    row.inFlight += 1
    return () => { row.inFlight -= 1 }
  }

  /** Removes moves that have been idle for `idleMs`. */
  removeIdle (nowMs: number, idleMs: number): void {
    this.rows.deleteWhere((row) => row.inFlight === 0 && nowMs - row.updatedAtMs > idleMs)
  }

  private updateMove (move: RegionMove): PacedMove {
    const id = `${move.customer}|${move.service}|${move.region}`
    const startLimit = Math.max(minLimit, move.growthPerSecond)
    const row = this.rows.ensure(id, () => ({ inFlight: 0, limit: startLimit, updatedAtMs: move.nowMs }))
    const change = move.growthPerSecond * (move.nowMs - row.updatedAtMs) / msPerSecond
    const isUsed = row.inFlight + 1 >= Math.floor(row.limit)
    row.limit = isUsed ? Math.min(row.limit + change, row.inFlight + 1 + startLimit) : Math.max(startLimit, row.limit - change)
    row.updatedAtMs = move.nowMs
    return row
  }
}
