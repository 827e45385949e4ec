const slotMs = 50
const slotCount = 20
const recentSlotCount = 4

/** Estimates the rate of events from counts over the last second, in slots of 50 ms. */
export class RateEstimator {
  private readonly slots = new Float64Array(slotCount)
  private slot = 0

  add (nowMs: number, amount = 1): void {
    this.advance(nowMs)
    this.slots[this.slot % slotCount]! += amount
  }

  /** Returns the events per second over the last second. */
  estimate (nowMs: number): number {
    this.advance(nowMs)
    return this.slots.reduce((sum, count) => sum + count, 0)
  }

  /** Returns the larger one of the rates over the last second and over the last 200 ms, so that growth shows early. */
  estimatePeak (nowMs: number): number {
    const average = this.estimate(nowMs)
    if (average === 0) return 0
    let recent = 0
    for (let back = 0; back < recentSlotCount; back += 1) recent += this.slots[(this.slot + slotCount - back) % slotCount]!
    return Math.max(average, recent * 1_000 / (slotMs * recentSlotCount))
  }

  private advance (nowMs: number): void {
    const slot = Math.floor(nowMs / slotMs)
    if (slot <= this.slot) return
    const stepCount = Math.min(slotCount, slot - this.slot)
    for (let step = 1; step <= stepCount; step += 1) this.slots[(slot - stepCount + step) % slotCount] = 0
    this.slot = slot
  }
}
