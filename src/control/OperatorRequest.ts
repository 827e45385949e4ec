/** A request on the operators' interface after authentication. */
export interface OperatorRequest {
  readonly operator: string
  readonly method: string
  /** Decoded path segments after `/admin/v1/`. */
  readonly segments: readonly string[]
  readonly query: URLSearchParams
  /** Parsed JSON body; an empty object when there was none. */
  readonly body: unknown
}
