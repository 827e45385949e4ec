import { Table } from '../common/Table.js'
import { SlidingWindowCounter } from './SlidingWindowCounter.js'

/** Bounds on further attempts of all hosts together. */
interface RetryBounds {
  readonly retryWindowMs: number
  /** Further attempts for each request. */
  readonly retryRatio: number
  /** Further attempts of all hosts in a window, however few requests there are. */
  readonly retrySlack: number
}

/** Requests and further attempts of one service at this host. */
interface BudgetRow {
  readonly windowMs: number
  readonly requests: SlidingWindowCounter
  readonly retries: SlidingWindowCounter
}

/** Share of the bound that is used, since windows of the hosts don't begin together. */
const safetyFactor = 0.8

/**
 * Bounds further attempts under a common failure. Each host may use the ratio of its own requests and an equal part of
 * the slack, so that all hosts together keep the bound without asking each other, also while they are cut off.
 */
export class RetryBudget {
  private readonly rows = new Table<BudgetRow>()

  constructor (
    private readonly readBounds: () => RetryBounds,
    /** Hosts that may make attempts now. */
    private readonly countHosts: () => number
  ) {}

  noteRequest (service: string, nowMs: number): void {
    this.ensureRow(service).requests.add(nowMs)
  }

  /** Takes one further attempt; false when the budget is used up. */
  take (service: string, nowMs: number): boolean {
    const row = this.ensureRow(service)
    const { retryRatio, retrySlack } = this.readBounds()
    const allowed = safetyFactor * (retryRatio * row.requests.count(nowMs) + retrySlack / Math.max(1, this.countHosts()))
    if (row.retries.count(nowMs) + 1 > allowed) return false
    row.retries.add(nowMs)
    return true
  }

  private ensureRow (service: string): BudgetRow {
    const { retryWindowMs } = this.readBounds()
    const row = this.rows.get(service)
    if (row !== undefined && row.windowMs === retryWindowMs) return row
    const created = { windowMs: retryWindowMs, requests: new SlidingWindowCounter(retryWindowMs), retries: new SlidingWindowCounter(retryWindowMs) }
    this.rows.set(service, created)
    return created
  }
}
