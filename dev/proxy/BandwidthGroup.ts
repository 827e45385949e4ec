/** Bandwidth that several links share in one direction; data is sent first in, first out. */
export class BandwidthGroup {
  /** Number of bytes sent. */
  bytes = 0
  private freeAtMs = 0

  constructor (public bytesPerSecond: number) {}

  /** Reserves the time to send `bytes` and returns when they have been sent, in ms of the same clock as `nowMs`. */
  reserve (bytes: number, nowMs: number): number {
    this.bytes += bytes
    this.freeAtMs = Math.max(nowMs, this.freeAtMs) + bytes * 1_000 / this.bytesPerSecond
    return this.freeAtMs
  }
}
