import { Table } from '../common/Table.js'
import type { MoveInput } from './MoveInput.js'

/** Work of one customer for one service in one other region. */
interface MoveRow {
  inFlight: number
  /** Largest number of requests in flight allowed now. */
  limit: number
  updatedAtMs: number
}

const minLimit = 1
const msPerSecond = 1_000

/**
 * Limits how fast a customer's work may move to another region. The limit grows while it is used and shrinks at
 * the same pace when it is not, so that a region warms up before it carries much.
 */
export class MovePacer {
  private readonly rows = new Table<MoveRow>()

  /** True when one more request may go to the region now. */
  allows (input: MoveInput): boolean {
    const row = this.update(input)
    return row.inFlight + 1 <= Math.floor(row.limit)
  }

  /** Counts a request as in flight in the region and returns the function that ends it. */
  enter (input: MoveInput): () => void {
    const row = this.update(input)
    row.inFlight += 1
    return () => { row.inFlight -= 1 }
  }

  /** Forgets moves that have been idle for `idleMs`. */
  forgetIdle (nowMs: number, idleMs: number): void {
    this.rows.deleteWhere((row) => row.inFlight === 0 && nowMs - row.updatedAtMs > idleMs)
  }

  private update (input: MoveInput): MoveRow {
    const id = `${input.customer}|${input.service}|${input.region}`
    const start = Math.max(minLimit, input.growthPerSecond)
    const row = this.rows.ensure(id, () => ({ inFlight: 0, limit: start, updatedAtMs: input.nowMs }))
    const change = input.growthPerSecond * (input.nowMs - row.updatedAtMs) / msPerSecond
    const isUsed = row.inFlight + 1 >= Math.floor(row.limit)
    row.limit = isUsed ? Math.min(row.limit + change, row.inFlight + 1 + start) : Math.max(start, row.limit - change)
    row.updatedAtMs = input.nowMs
    return row
  }
}
