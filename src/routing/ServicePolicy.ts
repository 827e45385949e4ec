/** Settings that apply to all endpoints of a service. */
export interface ServicePolicy {
  readonly name: string
  /** Path of the health check. */
  readonly healthPath: string
  /** Connections that an endpoint accepts from all callers in total. */
  readonly maxConnections: number
  /** Requests per second that a cold endpoint can serve for all callers in total. */
  readonly coldPerSecond: number
}
