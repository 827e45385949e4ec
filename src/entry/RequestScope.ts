import type { Clock } from '../common/Clock.js'

/** Why a request was ended before its answer: its deadline passed or its caller went away. */
type CancelReason = 'deadline' | 'caller'

/** Lifetime of one request: its deadline, and the hooks to run when it is cancelled. */
export class RequestScope {
  private readonly hooks = new Set<() => void>()
  private readonly timer: NodeJS.Timeout
  private controller: AbortController | undefined
  private cancelReason: CancelReason | undefined

  /** `deadlineAtMs` is monotonic time. */
  constructor (private readonly clock: Clock, readonly deadlineAtMs: number) {
    const leftMs = Math.max(0, Math.ceil(deadlineAtMs - clock.nowMs()))
    this.timer = setTimeout(() => this.cancel('deadline'), leftMs)
  }

  /** Undefined while the request goes on. */
  get reason (): CancelReason | undefined {
    return this.cancelReason
  }

  get leftMs (): number {
    return this.deadlineAtMs - this.clock.nowMs()
  }

  /** Aborted on cancellation; created when first asked for, since most requests never wait. */
  get signal (): AbortSignal {
    this.controller ??= new AbortController()
    if (this.cancelReason !== undefined) this.controller.abort()
    return this.controller.signal
  }

  /** Runs `hook` on cancellation; at once when that has happened. */
  addHook (hook: () => void): void {
    if (this.cancelReason !== undefined) return hook()
    this.hooks.add(hook)
  }

  removeHook (hook: () => void): void {
    this.hooks.delete(hook)
  }

  cancel (reason: CancelReason): void {
    if (this.cancelReason !== undefined) return
    this.cancelReason = reason
    clearTimeout(this.timer)
    this.controller?.abort()
    for (const hook of [...this.hooks]) hook()
    this.hooks.clear()
  }

  /** Ends the scope of a completed request. */
  close (): void {
    clearTimeout(this.timer)
    this.hooks.clear()
  }
}
