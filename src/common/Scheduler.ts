import type { Clock } from './Clock.js'
import type { System } from './System.js'

/** Called when a system throws; the other systems still run in that tick. */
type FailureHandler = (system: System, err: unknown) => void

/** Runs systems in the given order at a fixed interval. */
export class Scheduler {
  private timer: NodeJS.Timeout | undefined

  constructor (
    private readonly clock: Clock,
    private readonly systems: readonly System[],
    private readonly onFailure: FailureHandler
  ) {}

  start (intervalMs: number): void {
    this.timer ??= setInterval(() => this.tick(), intervalMs)
  }

  stop (): void {
    clearInterval(this.timer)
    this.timer = undefined
  }

  /** Runs every system once; public so that tests need no timer. */
  tick (): void {
    const nowMs = this.clock.nowMs()
    for (const system of this.systems) {
      try {
        system.run(nowMs)
      } catch (err) {
        this.onFailure(system, err)
      }
    }
  }
}
