import { createFailure } from './createFailure.js'
import type { Failure } from './Failure.js'
import { Outcome } from './Outcome.js'
import type { ResultName } from './ResultName.js'

/** Retry-After in ms while a newer configuration may allow the request; a change reaches most hosts within this time. */
const retryAfterMs = 300

/**
 * Decides whether a request that the configuration doesn't allow may be denied. That needs a local copy that is known to have all
 * changes that must be in force. Otherwise callers are asked to come back, and may reach a host that has a newer configuration. What
 * the copy allows is served also while it can't be confirmed, so that traffic goes on without the store.
 */
export abstract class DenialPolicy {
  /** Results that callers take as final and that another configuration may turn into a success. */
  protected abstract readonly denials: ReadonlySet<ResultName>

  /**
   * Returns the failure to answer with: in place of a denial `configUnconfirmed` while a newer configuration may allow the request. It
   * promises that the request has not run, so a denial with another outcome stays.
   */
  check (failure: Failure): Failure {
    const isDenial = this.denials.has(failure.name) && failure.outcome === Outcome.notRun
    return !isDenial || this.isConfigComplete() ? failure : createFailure('configUnconfirmed', { retryAfterMs })
  }

  /** Returns true when the local copy has all changes that must be in force. */
  protected abstract isConfigComplete (): boolean
}
