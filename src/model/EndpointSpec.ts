/** One endpoint of a service at an upstream. */
export interface EndpointSpec {
  readonly name: string
  readonly service: string
  readonly zone: string
  /** IP address and port, as `a.b.c.d:port`. */
  readonly address: string
  /** Requests that it serves at once. */
  readonly slots: number
  /** Connections that it accepts at once. */
  readonly maxConnections: number
}
