import type { CallerLimits } from './CallerLimits.js'
import type { Route } from './Route.js'
import type { ServicePolicy } from './ServicePolicy.js'

/** One complete version of the operators' configuration. */
export interface RoutingConfig {
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: readonly ServicePolicy[]
  readonly limits: CallerLimits
}
