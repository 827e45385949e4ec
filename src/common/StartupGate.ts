import type { Clock } from './Clock.js'

/** Inputs of the decision. */
interface StartupGateOptions {
  readonly clock: Clock
  /** Returns true once the source of the state was read, or is known to be unreachable. */
  readonly hasResult: () => boolean
}

/** Time in ms for which a starting process waits for the source before it relies on the state that its peers have sent. */
const maxWaitMs = 1_000

/**
 * Decides when a process that has just started may rely on state that its peers have sent. A peer that is cut off from the
 * source sends outdated state, such as endpoints that have left or credentials that were withdrawn. Once open, the gate stays
 * open.
 */
export class StartupGate {
  private wasOpen = false
  private readonly startMs: number

  constructor (private readonly options: StartupGateOptions) {
    this.startMs = options.clock.nowMs()
  }

  /** True once the source has given a result or the longest wait is over. */
  get isOpen (): boolean {
    const { hasResult, clock } = this.options
    this.wasOpen ||= hasResult() || clock.nowMs() - this.startMs >= maxWaitMs
    return this.wasOpen
  }
}
