import type { Route } from '../routing/Route.js'

/** A request that needs an endpoint. */
export interface PlaceRequest {
  readonly route: Route
  readonly service: string
  /** Object that the request concerns; undefined when it isn't known. */
  readonly object: string | undefined
  /** Time in ms until the caller's deadline or the route's timeout. */
  readonly leftMs: number
  /** Incarnations that must not be chosen again. */
  readonly excluded: ReadonlySet<string>
}
