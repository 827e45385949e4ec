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
  /** Object that the request concerns, as named by `hashObject`; undefined when it names none. */
  readonly object: string | undefined
  readonly scope: RequestScope
}
