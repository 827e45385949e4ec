import type { WorkClass } from './WorkClass.js'

/** Rule for the requests of a service that match a method and a path prefix. */
export interface RouteSpec {
  /** HTTP methods that the rule matches; an empty list matches all methods. */
  readonly methods: readonly string[]
  /** Path prefix below the service's path; the longest match wins. */
  readonly prefix: string
  readonly workClass: WorkClass
  /** True when the requests are idempotent, so that the system may retry and hedge them. */
  readonly idempotent: boolean
  /** Time in ms until the deadline of requests that carry none. */
  readonly defaultDeadlineMs: number
  /** Largest request body in bytes. */
  readonly maxBodyBytes: number
}
