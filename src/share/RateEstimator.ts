const slotMs = 50
const slotCount = 20
const fastSlots = 4

/** Counts events over the last second in slots of 50 ms. */
export class RateEstimator {
  private readonly slots = new Float64Array(slotCount)
  private slot = 0

  add (nowMs: number, amount = 1): void {
    this.advance(nowMs)
    this.slots[this.slot % slotCount]! += amount
  }

  /** Events per second over the last second. */
  estimate (nowMs: number): number {
    this.advance(nowMs)
    return this.slots.reduce((sum, count) => sum + count, 0)
  }

  /** Events per second, the larger one of the last second and the last 200 ms, so that growth shows quickly. */
  estimatePeak (nowMs: number): number {
    const slow = this.estimate(nowMs)
    if (slow === 0) return 0
    let fast = 0
    for (let back = 0; back < fastSlots; back += 1) fast += this.slots[(this.slot + slotCount - back) % slotCount]!
    return Math.max(slow, fast * 1_000 / (slotMs * fastSlots))
  }

  private advance (nowMs: number): void {
    const slot = Math.floor(nowMs / slotMs)
    if (slot <= this.slot) return
    const steps = Math.min(slotCount, slot - this.slot)
    for (let step = 1; step <= steps; step += 1) this.slots[(slot - steps + step) % slotCount] = 0
    this.slot = slot
  }
}
