import type { Clock } from '../common/Clock.js'

/** Reason for cancelling a request: its deadline passed, or the caller closed the connection. */
type CancelReason = 'deadline' | 'caller'

/** Tracks the lifetime of one request: its deadline, and the hooks that run on cancellation. */
export class RequestScope {
  private readonly hooks = new Set<() => void>()
  private readonly timer: NodeJS.Timeout
  private controller: AbortController | undefined
  private cancelReason: CancelReason | undefined

  /** `deadlineAtMs` is monotonic time. */
  constructor (private readonly clock: Clock, readonly deadlineAtMs: number) {
    const remainingMs = Math.max(0, Math.ceil(deadlineAtMs - clock.nowMs()))
    this.timer = setTimeout(() => this.cancel('deadline'), remainingMs)
  }

  /** Undefined while the request is not cancelled. */
  get reason (): CancelReason | undefined {
    return this.cancelReason
  }

  get leftMs (): number {
    return this.deadlineAtMs - this.clock.nowMs()
  }

  /** Aborted on cancellation. Created on first use, since most requests never wait. */
  get signal (): AbortSignal {
    this.controller ??= new AbortController()
    if (this.cancelReason !== undefined) this.controller.abort()
    return this.controller.signal
  }

  /** Runs `hook` on cancellation, or immediately if the request is already cancelled. */
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
