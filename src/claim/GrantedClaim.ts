import type { Clock } from '../common/Clock.js'
import { ClaimHandle } from './ClaimHandle.js'
import { claimLimits } from './claimLimits.js'
import type { StoredAnswer } from './StoredAnswer.js'
import type { Settlement } from './Settlement.js'

/** Time for which a claim may be used, reduced by the largest clock drift. */
const usableMs = claimLimits.validMs * (1 - claimLimits.clockDrift)

/** A claim that the key's home granted to this process. */
export class GrantedClaim extends ClaimHandle {
  private isSettled = false

  constructor (
    private readonly clock: Clock,
    /** Time in ms, taken before the request for the claim was sent. */
    private readonly sentAtMs: number,
    private readonly onSettle: (settlement: Settlement) => void
  ) {
    super()
  }

  override isUsable (): boolean {
    return !this.isSettled && this.clock.nowMs() - this.sentAtMs < usableMs
  }

  override settleNotRun (): void {
    this.settle({ outcome: 'notRun' })
  }

  override settleUnknown (): void {
    this.settle({ outcome: 'unknown' })
  }

  override settleDone (answer: StoredAnswer | undefined): void {
    const isKept = answer !== undefined && answer.body.length <= claimLimits.maxAnswerBodyBytes
    this.settle(isKept ? { outcome: 'done', answer } : { outcome: 'done' })
  }

  private settle (settlement: Settlement): void {
    if (this.isSettled) return
    this.isSettled = true
    this.onSettle(settlement)
  }
}
