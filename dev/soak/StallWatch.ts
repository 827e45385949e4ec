import { soakLimits } from './soakLimits.js'

/**
 * Notices when the event loop of this process stands still, as on a machine without processor time. Links, endpoints, the store and
 * the callers run in it, so a stall is a fault of all of them that no host has caused.
 */
export class StallWatch {
  private lastMs = performance.now()
  private timer: NodeJS.Timeout | undefined

  constructor (private readonly onStall: (fromMs: number, untilMs: number) => void) {}

  start (): void {
    this.lastMs = performance.now()
    this.timer = setInterval(() => this.check(), soakLimits.pollMs)
  }

  stop (): void {
    clearInterval(this.timer)
  }

  private check (): void {
    const nowMs = performance.now()
    const fromMs = this.lastMs
    this.lastMs = nowMs
    if (nowMs - fromMs > soakLimits.stallMs) this.onStall(fromMs, nowMs)
  }
}
