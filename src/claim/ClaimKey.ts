/** A well-formed idempotency key. */
export interface ClaimKey {
  /** Identifies the key together with its customer. */
  readonly id: string
  /** Names the only process that may let the key run; undefined for a hashed key. */
  readonly bound?: { readonly host: string, readonly incarnation: number }
}
