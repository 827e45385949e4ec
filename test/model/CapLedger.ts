/** Watches the sums over all hosts from outside: admitted requests against the cap, and requests in flight. */
export class CapLedger {
  worstExcess = -Infinity
  worstInFlight = 0
  admitted = 0
  private level = 0
  private atMs = 0

  constructor (private rate: number, private burst: number) {}

  /** Changes the cap from now on; what is in the bucket stays. */
  setCap (rate: number, burst: number, nowMs: number): void {
    this.drain(nowMs)
    this.rate = rate
    this.burst = burst
  }

  /**
   * Notes an admission. Over every span of time that ends now, the requests admitted are at most
   * `rate x span + burst` if and only if the bucket's level stays at or below `burst`.
   */
  admit (nowMs: number): void {
    this.drain(nowMs)
    this.admitted += 1
    this.level += 1
    this.worstExcess = Math.max(this.worstExcess, this.level - this.burst)
  }

  private drain (nowMs: number): void {
    this.level = Math.max(0, this.level - this.rate * (nowMs - this.atMs) / 1_000)
    this.atMs = nowMs
  }
}
