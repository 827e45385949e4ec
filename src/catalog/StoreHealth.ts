/** Whether the store can be reached from this host, and since when. */
export class StoreHealth {
  private returnedMs: number | undefined
  private answeredMs: number | undefined
  private down = false

  get isDown (): boolean {
    return this.down
  }

  /** Notes a failed call; true when the store was reachable before. */
  noteFailure (): boolean {
    const isNew = !this.down
    this.down = true
    return isNew
  }

  /** Notes an answered call; true when the store was away before. */
  noteSuccess (nowMs: number): boolean {
    this.answeredMs = nowMs
    if (!this.down) return false
    this.down = false
    this.returnedMs = nowMs
    return true
  }

  /** Time in ms since the last answer; infinite before the first and while the store is away. */
  sinceAnswerMs (nowMs: number): number {
    return this.down || this.answeredMs === undefined ? Infinity : nowMs - this.answeredMs
  }

  /** Time in ms since the store returned; infinite when it was never away. */
  sinceReturnMs (nowMs: number): number {
    return this.returnedMs === undefined ? Infinity : nowMs - this.returnedMs
  }
}
