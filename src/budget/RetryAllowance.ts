import type { RetryShares } from './RetryShares.js'

/** Time in ms by which a retry that was taken may reach its endpoint later. */
const lateArrivalMs = 1_000

/** Share of the bound that is used; the rest covers requests that move between hosts and windows that begin at different times. */
const steadyShare = 0.8

/**
 * Share of the ratio that a process uses while retries of earlier processes of its host, which it doesn't know of, may still
 * count. Together with `steadyShare`, which these may have used, it must stay below 1.
 */
const restartedShare = 0.15

/** Dependencies of the allowance. */
interface RetryAllowanceOptions {
  /** Start of this process; -Infinity when no process of the host ran before. */
  readonly startMs: number
  readonly readWindowMs: () => number
  /** Returns the number of hosts that may make retries, including this one; undefined while it is not known. */
  readonly countHosts: () => number | undefined
}

/**
 * Decides what this host may use of a retry budget: the ratio of its own requests, and an equal share of the slack among the
 * known hosts. Until a window has passed since its start, a process may use no slack and little of the ratio, since an earlier
 * process of the same host may have used its shares in that window.
 */
export class RetryAllowance {
  constructor (private readonly options: RetryAllowanceOptions) {}

  get (nowMs: number): RetryShares {
    const { startMs, readWindowMs, countHosts } = this.options
    if (nowMs - startMs < readWindowMs() + lateArrivalMs) return { ofRatio: restartedShare, ofSlack: 0 }
    const hosts = countHosts()
    return { ofRatio: steadyShare, ofSlack: hosts === undefined ? 0 : steadyShare / hosts }
  }
}
