import { shareLimits } from './shareLimits.js'

/** Limits retries to a fraction of the admitted requests, with a small floor. */
export class CustomerRetryBudget {
  private credit: number = shareLimits.retryFloor
  private refilledAtMs = 0

  /** Called for each admitted request; `rate` is the customer's cap in requests per second. */
  recordAdmission (rate: number): void {
    const most = Math.max(shareLimits.retryFloor, rate * shareLimits.retryFraction)
    this.credit = Math.min(most, this.credit + shareLimits.retryFraction)
  }

  /** Takes one retry; false when none is left. */
  take (nowMs: number): boolean {
    const floor = (nowMs - this.refilledAtMs) / 1_000 * shareLimits.retryFloorPerSecond
    if (this.credit < shareLimits.retryFloor) this.credit = Math.min(shareLimits.retryFloor, this.credit + Math.max(0, floor))
    this.refilledAtMs = nowMs
    if (this.credit < 1) return false
    this.credit -= 1
    return true
  }
}
