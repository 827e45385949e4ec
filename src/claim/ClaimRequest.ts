/** A request with an idempotency key for which a claim is needed. */
export interface ClaimRequest {
  readonly customer: string
  readonly key: string
  /** Hash of the customer, method, path, body length and, up to 64 KiB, the body. */
  readonly fingerprint: string
  /** Monotonic time in ms by which the request must be complete. */
  readonly deadlineAtMs: number
}
