/** One entry host in a lookup response. */
export interface LookupEntry {
  readonly host: string
  readonly zone: string
  readonly region: string
  /** Base URL of the host's port for callers. */
  readonly url: string
  /** Prefix of idempotency keys that are bound to the current incarnation of the host's entry process. */
  readonly keyPrefix: string
}
