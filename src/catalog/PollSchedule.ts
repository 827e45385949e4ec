/** Place of this host among the hosts that read the store, from 0, and their number. */
interface ReaderPlace {
  readonly index: number
  readonly count: number
}

/** Longest wait of a poll, and time between the ends of any two polls of a table in the cluster; both in ms. */
interface PollTimes {
  readonly maxWaitMs: number
  readonly spacingMs: number
}

/**
 * Spreads the ends of the readers' long polls of one table over time. A change answers all polls at once, so without this they
 * would begin and end together, and connections that fell silent would leave all readers without news for a whole poll. A
 * reader whose poll ends learns of the silence and forwards what it missed, so the spacing bounds how long all can miss a change.
 */
export class PollSchedule {
  /** Monotonic time in ms at which the current poll is to end; undefined after a change or a failure. */
  private dueAtMs: number | undefined

  constructor (private readonly times: PollTimes) {}

  /** Begins a new period, since a change or a failure has ended the poll early. */
  restart (): void {
    this.dueAtMs = undefined
  }

  /** Returns the time in ms that the next poll may wait. */
  nextWaitMs ({ index, count }: ReaderPlace, nowMs: number): number {
    const { maxWaitMs, spacingMs } = this.times
    const periodMs = Math.min(maxWaitMs, count * spacingMs)
    this.dueAtMs ??= nowMs + periodMs * (index + 1) / count
    // The end of the poll is fixed rather than its length, so that round trips don't shift the readers against each other.
    while (this.dueAtMs < nowMs + Math.min(spacingMs, periodMs) / 2) this.dueAtMs += periodMs
    return Math.round(Math.min(periodMs, this.dueAtMs - nowMs))
  }
}
