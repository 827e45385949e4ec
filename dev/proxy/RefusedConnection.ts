/** A connection that the proxy accepted and whose target refused it, so that no byte of it reached the target. */
export interface RefusedConnection {
  /** Addresses of the client's side, `a.b.c.d:port`. */
  readonly client: string
  /** Wall time in ms of the refusal. */
  readonly atMs: number
}
