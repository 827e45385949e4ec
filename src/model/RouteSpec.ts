import type { WorkClass } from './WorkClass.js'

/** How requests of a service that match a method and a path prefix are treated. */
export interface RouteSpec {
  /** HTTP methods that the rule matches; empty matches all. */
  readonly methods: readonly string[]
  /** Path prefix below the service's path; the longest match wins. */
  readonly prefix: string
  readonly workClass: WorkClass
  /** Idempotent work may be retried and hedged by the system. */
  readonly idempotent: boolean
  /** Time allowed when the caller sends no deadline, in ms. */
  readonly defaultDeadlineMs: number
  /** Largest request body in bytes. */
  readonly maxBodyBytes: number
}
