/** A well-formed idempotency key. */
export interface ClaimKey {
  /** Unique identifier of the customer and the key together. */
  readonly id: string
  /** The only process that may grant the key; undefined for a hashed key, whose home is found by rendezvous hashing. */
  readonly bound?: { readonly host: string, readonly incarnation: number }
}
