import type { Result } from 'neverthrow'
import { Outcome } from '../common/Outcome.js'
import type { Attempt } from './Attempt.js'
import type { AttemptFailure } from './AttemptFailure.js'
import type { OpenAnswer } from './OpenAnswer.js'

type Reply = Result<OpenAnswer, AttemptFailure>

/** Runs an attempt and, when it is late, a second one; the first answer wins and the other attempt is cancelled. */
export class HedgedAttempt {
  private readonly attempts: Attempt[] = []
  private pending = 0
  private settled = false
  private mayHaveRun = false
  private timer: NodeJS.Timeout | undefined

  /** `startSecond` returns undefined when there is no room for a second attempt. */
  constructor (
    private readonly hedgeAfterMs: number,
    private readonly startSecond: () => Promise<Attempt | undefined>
  ) {}

  async run (first: Attempt): Promise<Reply> {
    return await new Promise((resolve) => {
      this.timer = setTimeout(() => this.hedge(resolve), this.hedgeAfterMs)
      this.follow(first, resolve)
    })
  }

  private hedge (resolve: (reply: Reply) => void): void {
    this.startSecond().then((second) => {
      if (second === undefined) return
      if (this.settled) second.cancel()
      this.follow(second, resolve)
    }).catch(() => {})
  }

  private follow (attempt: Attempt, resolve: (reply: Reply) => void): void {
    this.attempts.push(attempt)
    this.pending += 1
    attempt.reply.then((reply) => this.settle(attempt, reply, resolve)).catch(() => {})
  }

  private settle (attempt: Attempt, reply: Reply, resolve: (reply: Reply) => void): void {
    this.pending -= 1
    if (this.settled) {
      if (reply.isOk()) reply.value.abort()
      return
    }
    if (reply.isErr()) {
      this.mayHaveRun ||= reply.error.failure.outcome === Outcome.unknown
      if (this.pending > 0) return
    }
    this.settled = true
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
