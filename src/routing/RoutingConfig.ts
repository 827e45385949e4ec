import type { CallerLimits } from './CallerLimits.js'
import type { Route } from './Route.js'
import type { ServicePolicy } from './ServicePolicy.js'

/** A complete version of the routing configuration that operators set. */
export interface RoutingConfig {
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: readonly ServicePolicy[]
  readonly limits: CallerLimits
}
