/** Capacity that several links share in one direction; data leaves in the order in which it came. */
export class BandwidthGroup {
  /** Bytes that have passed. */
  bytes = 0
  private freeAtMs = 0

  constructor (public bytesPerSecond: number) {}

  /** Takes the time for `bytes` and returns when they have left, in ms of the same clock as `nowMs`. */
  reserve (bytes: number, nowMs: number): number {
    this.bytes += bytes
    this.freeAtMs = Math.max(nowMs, this.freeAtMs) + bytes * 1_000 / this.bytesPerSecond
    return this.freeAtMs
  }
}
