/** Headers of a request that this system evaluates, and those that it forwards. */
export interface RequestHeaders {
  readonly authorization: string | undefined
  readonly idempotencyKey: string | undefined
  /** Declared body length; undefined for a chunked body. */
  readonly contentLength: number | undefined
  readonly expectsContinue: boolean
  /** Headers with the prefix `Shunt-`, by lower-case name. */
  readonly shunt: ReadonlyMap<string, string>
  /** Headers to forward, names and values in turn. */
  readonly forwarded: readonly string[]
}
