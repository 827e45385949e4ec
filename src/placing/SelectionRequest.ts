import type { Route } from '../routing/Route.js'

/** Describes a request for which an endpoint is to be selected. */
export interface SelectionRequest {
  readonly route: Route
  readonly service: string
  /** Object that the request concerns, as named by `hashObject`; undefined when the request names none. */
  readonly object: string | undefined
  /** Time in ms until the caller's deadline or the route's timeout, whichever is earlier. */
  readonly remainingMs: number
  /** Ids of endpoints that must not be selected. */
  readonly excluded: ReadonlySet<string>
}
