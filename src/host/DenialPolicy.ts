import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'
import { hostLimits } from './hostLimits.js'

/** Inputs of the decision. */
interface DenialPolicyOptions {
  /** Returns for how long in ms the local copy of the configuration may miss changes. */
  readonly getUnconfirmedMs: () => number
  /** Returns for how long in ms another host is known to have a newer configuration; 0 when none is. */
  readonly getBehindMs: () => number
  /** Returns the time in ms after its acknowledgement from which a change must be in force. */
  readonly getMaxUnconfirmedMs: () => number
}

/**
 * Decides whether a request that the configuration doesn't allow may be denied. Callers take a 4xx as final, so that needs a local copy
 * that is known to have all changes that must be in force. Otherwise callers are asked to come back, and may reach a host that has a
 * newer configuration. What the copy allows is served also while it can't be confirmed, so that traffic goes on without the store.
 */
export class DenialPolicy {
  constructor (private readonly options: DenialPolicyOptions) {}

  /** Returns the failure to answer with in place of a denial: `configUnconfirmed` while a newer configuration may allow the request. */
  check (denial: Failure): Failure {
    return this.isConfigComplete() ? denial : createFailure('configUnconfirmed', { retryAfterMs: hostLimits.unconfirmedRetryMs })
  }

  private isConfigComplete (): boolean {
    const { getUnconfirmedMs, getBehindMs, getMaxUnconfirmedMs } = this.options
    return getBehindMs() === 0 && getUnconfirmedMs() <= getMaxUnconfirmedMs()
  }
}
