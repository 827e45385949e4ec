import type { LimitSend } from './LimitSend.js'

/** What happened in a run, in the order of time, as the rules see it. */
export class LimitLog {
  /** Times of all requests that callers sent. */
  readonly requests: number[] = []
  readonly sends: LimitSend[] = []
  private readonly levels: Array<{ readonly fromMs: number, readonly level: number }> = []

  setLevel (fromMs: number, level: number): void {
    this.levels.push({ fromMs, level })
  }

  /** Lists the levels that held at some time between two times, both included. */
  listLevels (startMs: number, endMs: number): number[] {
    return this.levels.filter(({ fromMs }, index) => fromMs <= endMs && (this.levels[index + 1]?.fromMs ?? Infinity) > startMs).map(({ level }) => level)
  }
}
