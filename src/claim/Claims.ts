import type { Result } from 'neverthrow'
import type { Failure } from '../common/Failure.js'
import type { ClaimHandle } from './ClaimHandle.js'
import type { ClaimRequest } from './ClaimRequest.js'
import type { StoredAnswer } from './StoredAnswer.js'

/** A granted claim, or the stored answer of a key that is done. */
type ClaimDecision =
  | { readonly kind: 'granted', readonly claim: ClaimHandle }
  | { readonly kind: 'done', readonly answer: StoredAnswer }

/** Ensures that a request with an idempotency key runs at most once. */
export abstract class Claims {
  /**
   * Requests a claim from the key's home. While a request with the same key and fingerprint runs, waits for its result.
   * Failures: `keyRunning`, `keyMismatch`, `keyUnknown`, `keyHomeGone`, `keyHomeUnreachable`, `badIdempotencyKey`,
   * `shed` (the home has no room for another key).
   * Their outcome is `notRun` only when the request of the key has certainly not run.
   */
  abstract claim (request: ClaimRequest): Promise<Result<ClaimDecision, Failure>>

  /** Returns true when the records of this process alone prove that no request with the key has run or is running. */
  abstract isCertainlyNotRun (customer: string, key: string): boolean

  /** Prefix of keys that are bound to this process. */
  abstract get keyPrefix (): string
}
