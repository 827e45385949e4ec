import { Table } from '../common/Table.js'
import { SlidingCounter } from './SlidingCounter.js'

/** Bounds on further attempts of all hosts together. */
interface RetryBounds {
  readonly windowMs: number
  /** Further attempts for each request. */
  readonly ratio: number
  /** Further attempts of all hosts in a window, however few requests there are. */
  readonly slack: number
}

/** Requests and further attempts of one service at this host. */
interface BudgetRow {
  readonly requests: SlidingCounter
  readonly retries: SlidingCounter
}

/** Share of the bound that is used, since windows of the hosts don't begin together. */
const safety = 0.8

/**
 * Bounds further attempts under a common failure. Each host may use the ratio of its own requests and an equal part of
 * the slack, so that all hosts together keep the bound without asking each other, also while they are cut off.
 */
export class RetryBudget {
  private readonly rows = new Table<BudgetRow>()

  constructor (
    private readonly bounds: RetryBounds,
    /** Hosts that may make attempts now. */
    private readonly countHosts: () => number
  ) {}

  noteRequest (service: string, nowMs: number): void {
    this.ensure(service).requests.add(nowMs)
  }

  /** Takes one further attempt; false when the budget is used up. */
  take (service: string, nowMs: number): boolean {
    const row = this.ensure(service)
    const { ratio, slack } = this.bounds
    const allowed = safety * (ratio * row.requests.count(nowMs) + slack / Math.max(1, this.countHosts()))
    if (row.retries.count(nowMs) + 1 > allowed) return false
    row.retries.add(nowMs)
    return true
  }

  private ensure (service: string): BudgetRow {
    const { windowMs } = this.bounds
    return this.rows.ensure(service, () => ({ requests: new SlidingCounter(windowMs), retries: new SlidingCounter(windowMs) }))
  }
}
