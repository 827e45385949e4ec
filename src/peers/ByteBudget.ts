/** Inputs of the budget. */
interface ByteBudgetOptions {
  /** Returns the rate in bytes a second; Infinity for no limit. */
  readonly getBytesPerSecond: () => number
  /** Time in ms for which unused bytes are kept. */
  readonly burstMs: number
}

/** Token bucket of bytes. What is sent may exceed the bucket once, since its size is known only then; nothing more is sent until that is paid off. */
export class ByteBudget {
  private available = 0
  private updatedAtMs = -Infinity

  constructor (private readonly options: ByteBudgetOptions) {}

  /** Returns the time in ms until something may be sent; 0 when it may be now. */
  getWaitMs (nowMs: number): number {
    const bytesPerSecond = this.options.getBytesPerSecond()
    if (bytesPerSecond === Infinity) return 0
    const capacity = bytesPerSecond * this.options.burstMs / 1_000
    this.available = Math.min(capacity, this.available + bytesPerSecond * (nowMs - this.updatedAtMs) / 1_000)
    this.updatedAtMs = nowMs
    return this.available >= 0 ? 0 : Math.ceil(-this.available * 1_000 / bytesPerSecond)
  }

  spend (bytes: number): void {
    this.available -= bytes
  }
}
