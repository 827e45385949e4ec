import type { Result } from 'neverthrow'
import type { Failure } from '../common/Failure.js'
import type { ClaimHandle } from './ClaimHandle.js'
import type { ClaimRequest } from './ClaimRequest.js'
import type { KeptAnswer } from './KeptAnswer.js'

/** A claim was granted, or the key is done and its answer can be replayed. */
type ClaimDecision =
  | { readonly kind: 'granted', readonly claim: ClaimHandle }
  | { readonly kind: 'done', readonly answer: KeptAnswer }

/** Makes sure that a request with an idempotency key runs at most once. */
export abstract class Claims {
  /**
   * Asks the key's home for a claim. A running request with the same key and fingerprint is waited for.
   * Failures: `keyRunning`, `keyMismatch`, `keyUnknown`, `keyHomeGone`, `keyHomeUnreachable`, `badIdempotencyKey`,
   * `shed` (the home has no room for another key);
   * their outcome is `notRun` only where that is certain for the key.
   */
  abstract claim (request: ClaimRequest): Promise<Result<ClaimDecision, Failure>>

  /** True when this process knows without asking that no request with the key has run or is running. */
  abstract isCertainlyNotRun (customer: string, key: string): boolean

  /** Prefix for keys that are bound to this process. */
  abstract get keyPrefix (): string
}
