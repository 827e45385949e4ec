/** Asks for the right to run a request with an idempotency key. */
export interface ClaimRequest {
  readonly customer: string
  readonly key: string
  /** Hash of customer, method, path, body length and the body when it is at most 64 KiB. */
  readonly fingerprint: string
  /** Monotonic time in ms by which the request must be complete. */
  readonly deadlineAtMs: number
}
