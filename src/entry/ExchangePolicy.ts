/** How exchanges on a kind of connection behave. */
export interface ExchangePolicy {
  /** Time in ms to connect. */
  readonly connectTimeoutMs: number
  /** Answers up to this many bytes are held completely before they are passed on. */
  readonly maxHeldBytes: number
  /** Takes an answer without length or chunks as whole when its connection ended without a reset. */
  readonly acceptsUnframed: boolean
  /** Sends a request again by itself when a kept connection broke before any answer. */
  readonly retriesStale: boolean
}
