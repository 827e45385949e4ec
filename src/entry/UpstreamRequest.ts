import type { RequestBody } from './RequestBody.js'

/** A request to one address. */
export interface UpstreamRequest {
  /** `a.b.c.d:port`, before address translation. */
  readonly address: string
  /** Id that the receiver repeats in its response, if it repeats one. */
  readonly id?: string
  readonly method: string
  readonly path: string
  /** Value of the `Host` header; the address if absent. */
  readonly hostHeader?: string
  /**
   * Returns whether a response with these headers belongs to this request; if absent, every response is accepted. On a reused
   * connection it may be a late second copy of the response to an earlier request.
   */
  readonly isMatchingResponse?: (headers: readonly string[], isReusedConnection: boolean) => boolean
  /** Returns whether a response states that the request was not run. */
  readonly isRefusal?: (status: number, headers: readonly string[]) => boolean
  /** All headers except `Host` and those that describe the body, names and values in turn. Read when the request is written. */
  readonly headers: readonly string[]
  readonly body: RequestBody
  /** Uses a new connection, so that a connection failure certainly precedes the write. */
  readonly needsNewConnection: boolean
  /** Called immediately before the write; if it returns false, nothing is written and the call fails with `claimExpired`. */
  readonly mayWrite: () => boolean
  /** Reserves bytes of the streamed body and returns the ms to wait before they may be sent. */
  readonly reserveBytes: (bytes: number) => number
}
