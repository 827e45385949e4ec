import type { Clock } from '../common/Clock.js'

/** Share of the grace time after which a request is passed on only if it must end in time. */
const openShare = 0.5

/**
 * Decides which requests are still passed on to endpoints during a planned stop. Requests that are open when the process ends
 * are cut without a response, though they may have run. Those of the first half have at least the second half to end;
 * later ones are passed on only if their deadline is within the grace time, and their callers ask another host otherwise.
 */
export class GraceTime {
  private lateFromMs = Infinity
  private endMs = Infinity

  constructor (private readonly clock: Clock) {}

  get hasEnded (): boolean {
    return this.clock.nowMs() >= this.endMs
  }

  begin (durationMs: number): void {
    const nowMs = this.clock.nowMs()
    this.lateFromMs = nowMs + durationMs * openShare
    this.endMs = nowMs + durationMs
  }

  /** Returns true when a request whose deadline passes in `leftMs` may be passed on to an endpoint. */
  mayPassOn (leftMs: number): boolean {
    const nowMs = this.clock.nowMs()
    return nowMs < this.lateFromMs || nowMs + leftMs <= this.endMs
  }
}
