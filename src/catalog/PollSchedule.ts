/** Place of this host among the hosts of its region that read the store, from 0, and their number. */
interface ReaderPlace {
  readonly index: number
  readonly count: number
}

/** Longest wait of a poll, and time between the ends of any two polls of a table in a region; both in ms. */
interface PollTimes {
  readonly maxWaitMs: number
  readonly spacingMs: number
}

/** Time in ms before its turn from which a poll that ends counts as that of the turn, since clocks and calls are not exact. */
const turnToleranceMs = 100

/**
 * Spreads the ends of the long polls of one table by a region's readers over time. A change answers all polls at once, and hosts start
 * together, so without this polls would begin and end together, and connections that fell silent would leave all readers
 * without news for a whole poll. A reader whose poll ends learns of the silence and forwards what it missed, so the spacing
 * bounds how long all can miss a change. The times are those of the store's clock, which all readers share.
 */
export class PollSchedule {
  /** Time of the store's clock less this host's monotonic time, in ms. */
  private clockOffsetMs = 0

  constructor (private readonly times: PollTimes) {}

  /** Aligns the schedule with the store's clock, as of a response that has just arrived. */
  synchronize (storeTimeMs: number, nowMs: number): void {
    this.clockOffsetMs = storeTimeMs - nowMs
  }

  /**
   * Returns the time in ms that the next poll may wait. After a change, which ends all polls at once, the poll of the reader whose turn
   * comes next waits a little longer than that and isn't left out, so the first poll ends within the spacing.
   */
  nextWaitMs ({ index, count }: ReaderPlace, nowMs: number): number {
    const { maxWaitMs, spacingMs } = this.times
    const periodMs = Math.min(maxWaitMs, count * spacingMs)
    const minWaitMs = Math.min(spacingMs, periodMs) / 2
    const earliestMs = nowMs + this.clockOffsetMs + turnToleranceMs
    const untilTurnMs = turnToleranceMs + modulo(periodMs * index / count - earliestMs, periodMs)
    return Math.round(Math.min(maxWaitMs, Math.max(minWaitMs, untilTurnMs)))
  }
}

function modulo (value: number, divisor: number): number {
  return (value % divisor + divisor) % divisor
}
