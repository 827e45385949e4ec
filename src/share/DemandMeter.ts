const slotMs = 50
const slotCount = 20
const fastSlots = 4

/** Counts events over the last second in slots of 50 ms. */
export class DemandMeter {
  private readonly slots = new Float64Array(slotCount)
  private slot = 0

  add (nowMs: number, amount = 1): void {
    this.roll(nowMs)
    this.slots[this.slot % slotCount]! += amount
  }

  /** Events per second over the last second. */
  rate (nowMs: number): number {
    this.roll(nowMs)
    return this.slots.reduce((sum, count) => sum + count, 0)
  }

  /** Events per second, the larger one of the last second and the last 200 ms, so that growth shows quickly. */
  peakRate (nowMs: number): number {
    const slow = this.rate(nowMs)
    if (slow === 0) return 0
    let fast = 0
    for (let back = 0; back < fastSlots; back += 1) fast += this.slots[(this.slot + slotCount - back) % slotCount]!
    return Math.max(slow, fast * 1_000 / (slotMs * fastSlots))
  }

  private roll (nowMs: number): void {
    const slot = Math.floor(nowMs / slotMs)
    if (slot <= this.slot) return
    const steps = Math.min(slotCount, slot - this.slot)
    for (let step = 1; step <= steps; step += 1) this.slots[(slot - steps + step) % slotCount] = 0
    this.slot = slot
  }
}
