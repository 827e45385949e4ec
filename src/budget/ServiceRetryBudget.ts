import { Table } from '../common/Table.js'
import type { RetryBudgetState } from './RetryBudgetState.js'
import type { RetryShares } from './RetryShares.js'
import { SlidingWindowCounter } from './SlidingWindowCounter.js'

/** Bounds on the retries of a service across all hosts. */
interface RetryBounds {
  readonly retryWindowMs: number
  /** Retries per request. */
  readonly retryRatio: number
  /** Retries that all hosts together may make in a window in addition to the ratio, so that low traffic can be retried too. */
  readonly retrySlack: number
}

/** Requests and retries of one service at this host. */
interface BudgetRow {
  readonly windowMs: number
  readonly requests: SlidingWindowCounter
  readonly retries: SlidingWindowCounter
  /** Retries that were denied since the row was created. */
  denied: number
}

/**
 * Limits the retries of each service, so that a failure of many endpoints doesn't multiply the load. Each host may use
 * its share of the ratio of its own requests and of the slack, so that the hosts in total stay within the bound without
 * communication, even during a network partition.
 */
export class ServiceRetryBudget {
  private readonly rows = new Table<BudgetRow>()

  constructor (
    private readonly readBounds: () => RetryBounds,
    /** Returns the shares of the bounds that this host may use now. */
    private readonly getShares: (nowMs: number) => RetryShares
  ) {}

  recordRequest (service: string, nowMs: number): void {
    this.ensureRow(service, nowMs).requests.add(nowMs)
  }

  /** Takes a permit for one retry; returns false when the budget is exhausted. */
  take (service: string, nowMs: number): boolean {
    const row = this.ensureRow(service, nowMs)
    if (row.retries.count(nowMs) + 1 > this.computeAllowed(row, nowMs)) {
      row.denied += 1
      return false
    }
    row.retries.add(nowMs)
    return true
  }

  /** Lists the use of the budgets, for logs and metrics. */
  list (nowMs: number): RetryBudgetState[] {
    return [...this.rows.entries()].map(([service, row]) => ({
      service,
      requests: row.requests.count(nowMs),
      retries: row.retries.count(nowMs),
      allowed: this.computeAllowed(row, nowMs),
      denied: row.denied
    }))
  }

  private computeAllowed (row: BudgetRow, nowMs: number): number {
    const { retryRatio, retrySlack } = this.readBounds()
    const { ofRatio, ofSlack } = this.getShares(nowMs)
    return ofRatio * retryRatio * row.requests.count(nowMs) + ofSlack * retrySlack
  }

  /** A changed window begins without requests, but with the retries of the one before. */
  private ensureRow (service: string, nowMs: number): BudgetRow {
    const { retryWindowMs } = this.readBounds()
    const row = this.rows.get(service)
    if (row !== undefined && row.windowMs === retryWindowMs) return row
    const created = { windowMs: retryWindowMs, requests: new SlidingWindowCounter(retryWindowMs), retries: SlidingWindowCounter.covering(retryWindowMs), denied: row?.denied ?? 0 }
    created.retries.add(nowMs, row?.retries.count(nowMs) ?? 0)
    this.rows.set(service, created)
    return created
  }
}
