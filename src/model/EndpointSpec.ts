/** One endpoint of a service at an upstream. */
export interface EndpointSpec {
  readonly name: string
  readonly service: string
  readonly zone: string
  /** IP address and port, as `a.b.c.d:port`. */
  readonly address: string
  /** Largest number of requests that the endpoint serves concurrently. */
  readonly slots: number
  /** Largest number of connections that the endpoint accepts. */
  readonly maxConnections: number
}
