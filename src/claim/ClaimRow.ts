import type { StoredAnswer } from './StoredAnswer.js'

/** A home's record of one key. */
export interface ClaimRow {
  readonly customer: string
  readonly key: string
  readonly fingerprint: string
  /** Process that the claim was granted to. */
  readonly executor: { readonly host: string, readonly incarnation: number }
  /** Chosen by the executor; only settlements with the same id apply. */
  readonly claimId: string
  state: 'running' | 'done' | 'unknown'
  /** Time in ms after which a running key counts as unknown. */
  expiresAtMs: number
  /** Stored answer of a key that is done; undefined when it was too large or has been dropped. */
  answer?: StoredAnswer | undefined
}
