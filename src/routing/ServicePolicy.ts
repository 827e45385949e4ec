/** What holds for all endpoints of a service. */
export interface ServicePolicy {
  readonly name: string
  /** Path of the health check. */
  readonly healthPath: string
  /** Connections that an endpoint accepts from all callers together. */
  readonly maxConnections: number
  /** Requests a second that a cold endpoint bears from all callers together. */
  readonly coldPerSecond: number
}
