import { Clock } from './Clock.js'

/** A clock that only `advance` moves; for tests, models and offline calculations. */
export class ManualClock extends Clock {
  private elapsedMs = 0

  constructor (private readonly startWallMs: number = 0) {
    super()
  }

  override nowMs (): number {
    return this.elapsedMs
  }

  override wallMs (): number {
    return this.startWallMs + this.elapsedMs
  }

  /** Moves both the monotonic and the wall time forward by `ms`. */
  advance (ms: number): void {
    this.elapsedMs += ms
  }
}
