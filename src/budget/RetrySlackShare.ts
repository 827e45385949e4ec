/** Time in ms by which a retry that was taken may reach its endpoint later. */
const lateArrivalMs = 1_000

/** Dependencies of the share. */
interface RetrySlackShareOptions {
  /** Start of this process; -Infinity when no process of the host ran before. */
  readonly startMs: number
  readonly readWindowMs: () => number
  /** Returns the number of hosts that may make retries, including this one; undefined while it is not known. */
  readonly countHosts: () => number | undefined
}

/**
 * Computes the share of the slack of a retry budget that this host may use: an equal one among the known hosts. A process
 * has none until a window has passed since its start, since an earlier process of the same host may have used the share in it.
 */
export class RetrySlackShare {
  constructor (private readonly options: RetrySlackShareOptions) {}

  get (nowMs: number): number {
    const { startMs, readWindowMs, countHosts } = this.options
    const hosts = countHosts()
    if (hosts === undefined || nowMs - startMs < readWindowMs() + lateArrivalMs) return 0
    return 1 / hosts
  }
}
