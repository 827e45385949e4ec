/** Whether the store can be reached from this host, and since when. */
export class StoreHealth {
  private recoveredAtMs: number | undefined
  private lastSuccessAtMs: number | undefined
  private down = false

  get isDown (): boolean {
    return this.down
  }

  /** Notes a failed call; true when the store was reachable before. */
  recordFailure (): boolean {
    const wasReachable = !this.down
    this.down = true
    return wasReachable
  }

  /** Notes an answered call; true when the store was away before. */
  recordSuccess (nowMs: number): boolean {
    this.lastSuccessAtMs = nowMs
    if (!this.down) return false
    this.down = false
    this.recoveredAtMs = nowMs
    return true
  }

  /** Time in ms since the last answer; infinite before the first and while the store is away. */
  sinceLastSuccessMs (nowMs: number): number {
    return this.down || this.lastSuccessAtMs === undefined ? Infinity : nowMs - this.lastSuccessAtMs
  }

  /** Time in ms since the store returned; infinite when it was never away. */
  sinceRecoveryMs (nowMs: number): number {
    return this.recoveredAtMs === undefined ? Infinity : nowMs - this.recoveredAtMs
  }
}
