/** One entry host in a lookup response. */
export interface LookupEntry {
  readonly host: string
  readonly zone: string
  readonly region: string
  /** Base URL of the callers' port. */
  readonly url: string
  /** Start of idempotency keys that are bound to the host's running entry process. */
  readonly keyPrefix: string
}
