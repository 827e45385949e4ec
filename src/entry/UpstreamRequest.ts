import type { RequestBody } from './RequestBody.js'

/** One request to one address. */
export interface UpstreamRequest {
  /** `a.b.c.d:port`, before address translation. */
  readonly address: string
  readonly method: string
  readonly path: string
  /** Value of the `Host` header; the address when absent. */
  readonly hostHeader?: string
  /** Tells from the headers of an answer whether it belongs to this request; every answer does when absent. */
  readonly isOwnAnswer?: (headers: readonly string[]) => boolean
  /** All headers but `Host` and those of the body, names and values in turn. */
  readonly headers: readonly string[]
  readonly body: RequestBody
  /** Uses a connection of its own, so that a failure before the write is certain. */
  readonly fresh: boolean
  /** Asked at the moment of the write; when false nothing is written and the call fails with `claimExpired`. */
  readonly mayWrite: () => boolean
  /** Reserves body bytes of the rest and returns the ms to wait before they may be sent. */
  readonly reserveBytes: (bytes: number) => number
}
