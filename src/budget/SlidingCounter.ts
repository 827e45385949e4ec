/** Slices of a window; the count is at most one slice too old. */
const slices = 20

/** Counts events of the last `windowMs`. */
export class SlidingCounter {
  private readonly counts = new Float64Array(slices)
  private readonly sliceMs: number
  private lastSlice = 0
  private total = 0

  constructor (windowMs: number) {
    this.sliceMs = windowMs / slices
  }

  add (nowMs: number, amount = 1): void {
    const index = this.advance(nowMs) % slices
    this.counts[index] = this.counts[index]! + amount
    this.total += amount
  }

  count (nowMs: number): number {
    this.advance(nowMs)
    return this.total
  }

  private advance (nowMs: number): number {
    const slice = Math.floor(nowMs / this.sliceMs)
    const first = Math.max(this.lastSlice + 1, slice - slices + 1)
    for (let stale = first; stale <= slice; stale++) {
      this.total -= this.counts[stale % slices]!
      this.counts[stale % slices] = 0
    }
    this.lastSlice = Math.max(this.lastSlice, slice)
    return this.lastSlice
  }
}
