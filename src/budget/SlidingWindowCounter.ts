/** Number of slices of a window. */
const sliceCount = 20

/** Counts the events of the last `windowMs`. The count may omit events from up to one slice at the start of the window. */
export class SlidingWindowCounter {
  private readonly counts = new Float64Array(sliceCount)
  private readonly sliceMs: number
  private lastSlice = 0
  private total = 0

  constructor (windowMs: number) {
    this.sliceMs = windowMs / sliceCount
  }

  /** Creates a counter that omits no event of the last `windowMs`, but may include events that are up to one slice older. */
  static covering (windowMs: number): SlidingWindowCounter {
    return new SlidingWindowCounter(windowMs * sliceCount / (sliceCount - 1))
  }

  add (nowMs: number, amount = 1): void {
    const index = this.advance(nowMs) % sliceCount
    this.counts[index] = this.counts[index]! + amount
    this.total += amount
  }

  count (nowMs: number): number {
    this.advance(nowMs)
    return this.total
  }

  private advance (nowMs: number): number {
    const slice = Math.floor(nowMs / this.sliceMs)
    const firstStale = Math.max(this.lastSlice + 1, slice - sliceCount + 1)
    for (let stale = firstStale; stale <= slice; stale++) {
      this.total -= this.counts[stale % sliceCount]!
      this.counts[stale % sliceCount] = 0
    }
    this.lastSlice = Math.max(this.lastSlice, slice)
    return this.lastSlice
  }
}
