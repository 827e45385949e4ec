/** An authenticated request to the operators' interface. */
export interface OperatorRequest {
  readonly operator: string
  readonly method: string
  /** Decoded path segments after `/admin/v1/`. */
  readonly segments: readonly string[]
  readonly query: URLSearchParams
  /** Parsed JSON body; an empty object when the request has no body. */
  readonly body: unknown
}
