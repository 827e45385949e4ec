/** Settings for the HTTP exchanges of a client. */
export interface ExchangePolicy {
  /** Maximum time in ms to connect. */
  readonly connectTimeoutMs: number
  /** Responses up to this many bytes are buffered completely before they are forwarded. */
  readonly maxBufferedBytes: number
  /** Accepts a response without length or chunks as complete if its connection ended without a reset after the whole request was written. */
  readonly acceptsUnframedResponse: boolean
  /** Sends a request once more if a reused connection broke before any response. */
  readonly retriesStaleConnection: boolean
  /** Called when an attempt ends because the endpoint's response is rejected; `reason` is one of a few fixed texts. */
  readonly onRejectedResponse?: (reason: string, address: string) => void
}
