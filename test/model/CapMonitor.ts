/** Checks sums over all hosts independently of them: admitted requests against the cap, and requests in flight. */
export class CapMonitor {
  worstExcess = -Infinity
  worstInFlight = 0
  admitted = 0
  private level = 0
  private atMs = 0

  constructor (private rate: number, private burst: number) {}

  /** Changes the cap; the level of the bucket stays. */
  setCap (rate: number, burst: number, nowMs: number): void {
    this.drain(nowMs)
    this.rate = rate
    this.burst = burst
  }

  /**
   * Records an admission in a leaky bucket. The requests admitted in every time span that ends now number at most
   * `rate x span + burst` if and only if the level of the bucket stays at or below `burst`.
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
