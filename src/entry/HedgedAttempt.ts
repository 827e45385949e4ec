import type { Result } from 'neverthrow'
import { Outcome } from '../common/Outcome.js'
import type { Attempt } from './Attempt.js'
import type { AttemptFailure } from './AttemptFailure.js'
import type { OpenResponse } from './OpenResponse.js'

type HedgeResult = Result<OpenResponse, AttemptFailure>

/** Runs an attempt and starts a hedge if it is slow; the first response is used and the other attempt is cancelled. */
export class HedgedAttempt {
  private readonly attempts: Attempt[] = []
  private pending = 0
  private isSettled = false
  private mayHaveRun = false
  private timer: NodeJS.Timeout | undefined

  /** `startHedge` returns undefined if no target or no retry budget is available for a hedge. */
  constructor (
    private readonly hedgeDelayMs: number,
    private readonly startHedge: () => Promise<Attempt | undefined>
  ) {}

  async run (first: Attempt): Promise<HedgeResult> {
    return await new Promise((resolve) => {
      this.timer = setTimeout(() => this.hedge(resolve), this.hedgeDelayMs)
      this.observe(first, resolve)
    })
  }

  private hedge (resolve: (reply: HedgeResult) => void): void {
    this.startHedge().then((hedge) => {
      if (hedge === undefined) return
      if (this.isSettled) hedge.cancel()
      this.observe(hedge, resolve)
    }).catch(() => {})
  }

  private observe (attempt: Attempt, resolve: (reply: HedgeResult) => void): void {
    this.attempts.push(attempt)
    this.pending += 1
    attempt.response.then((reply) => this.settle(attempt, reply, resolve)).catch(() => {})
  }

  private settle (attempt: Attempt, reply: HedgeResult, resolve: (reply: HedgeResult) => void): void {
    this.pending -= 1
    if (this.isSettled) {
      if (reply.isOk()) reply.value.abort()
      return
    }
    if (reply.isErr()) {
      this.mayHaveRun ||= reply.error.failure.outcome === Outcome.unknown
      if (this.pending > 0) return
    }
    this.isSettled = true
    clearTimeout(this.timer)
    for (const other of this.attempts) {
      if (other !== attempt) other.cancel()
    }
    resolve(reply.mapErr((failed) => this.mayHaveRun ? markUnknown(failed) : failed))
  }
}

function markUnknown (failed: AttemptFailure): AttemptFailure {
  return { ...failed, failure: { ...failed.failure, outcome: Outcome.unknown } }
}
