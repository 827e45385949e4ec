import type { RouteSpec } from './RouteSpec.js'

/** A service that callers reach under its path. */
export interface ServiceSpec {
  readonly name: string
  /** First path segment, without slashes. */
  readonly path: string
  readonly routes: readonly RouteSpec[]
}
