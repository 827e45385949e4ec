import { shareLimits } from './shareLimits.js'

/** Limits one customer's retries to a fraction of its admitted requests, with a small minimum. */
export class CustomerRetryBudget {
  private credit: number = shareLimits.retryFloor
  private refilledAtMs = 0

  /** Adds credit for one admitted request; `rate` is the customer's cap in requests per second. */
  recordAdmission (rate: number): void {
    const maxCredit = Math.max(shareLimits.retryFloor, rate * shareLimits.retryFraction)
    this.credit = Math.min(maxCredit, this.credit + shareLimits.retryFraction)
  }

  /** Takes one retry, or returns false when the budget is used up. */
  take (nowMs: number): boolean {
    const refill = (nowMs - this.refilledAtMs) / 1_000 * shareLimits.retryFloorPerSecond
    if (this.credit < shareLimits.retryFloor) this.credit = Math.min(shareLimits.retryFloor, this.credit + Math.max(0, refill))
    this.refilledAtMs = nowMs
    if (this.credit < 1) return false
    this.credit -= 1
    return true
  }
}
