/** The headers of a request that this system reads, and those that it passes on. */
export interface RequestHeaders {
  readonly authorization: string | undefined
  readonly idempotencyKey: string | undefined
  /** Declared body length; undefined for a chunked body. */
  readonly contentLength: number | undefined
  readonly expectsContinue: boolean
  /** Headers of this system by lower-case name. */
  readonly shunt: ReadonlyMap<string, string>
  /** Headers to pass on, names and values in turn. */
  readonly forwarded: readonly string[]
}
