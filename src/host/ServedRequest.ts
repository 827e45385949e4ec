import type { RequestBody } from '../entry/RequestBody.js'
import type { RequestScope } from '../entry/RequestScope.js'
import type { Route } from '../routing/Route.js'

/** A request whose route is known and whose body has been buffered up to the limit. */
export interface ServedRequest {
  readonly id: string
  readonly method: string
  readonly path: string
  readonly hostHeader: string
  /** Forwarded headers as alternating names and values. */
  readonly headers: readonly string[]
  readonly body: RequestBody
  readonly route: Route
  readonly service: string
  readonly object: string | undefined
  readonly scope: RequestScope
}
