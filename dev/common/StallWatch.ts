const pollMs = 25

/**
 * Notices when the event loop of this process stands still for longer than `limitMs`, as on a machine without processor time.
 * Links, endpoints, stores and callers that run in it stand still too, which is a fault that no host has caused.
 */
export class StallWatch {
  private lastMs = performance.now()
  private timer: NodeJS.Timeout | undefined

  constructor (private readonly limitMs: number, private readonly onStall: (fromMs: number, untilMs: number) => void) {}

  start (): void {
    this.lastMs = performance.now()
    this.timer = setInterval(() => this.check(), pollMs)
  }

  stop (): void {
    clearInterval(this.timer)
  }

  private check (): void {
    const nowMs = performance.now()
    const fromMs = this.lastMs
    this.lastMs = nowMs
    if (nowMs - fromMs > this.limitMs) this.onStall(fromMs, nowMs)
  }
}
