import type { LookupEntry } from './LookupEntry.js'

/** Body of a lookup response (design 6.1). */
export interface LookupResponse {
  /** Version of the configuration on which the response is based. */
  readonly version: number
  /** Time in ms for which a client may use the response. */
  readonly ttlMs: number
  /** Entry hosts, the preferred one first. */
  readonly entries: readonly LookupEntry[]
}
