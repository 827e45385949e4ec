import type { Route } from '../routing/Route.js'

/** A request that needs an endpoint. */
export interface PlaceRequest {
  readonly route: Route
  readonly service: string
  /** Object that the request concerns; undefined when it isn't known. */
  readonly object: string | undefined
  /** Incarnations that must not be chosen again. */
  readonly excluded: ReadonlySet<string>
}
