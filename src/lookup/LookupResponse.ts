import type { LookupEntry } from './LookupEntry.js'

/** Body of a lookup response (design 6.1). */
export interface LookupResponse {
  /** Version of the configuration that the answer was made from. */
  readonly version: number
  /** Time in ms for which a client may use the answer. */
  readonly ttlMs: number
  /** Entry hosts in order of preference. */
  readonly entries: readonly LookupEntry[]
}
