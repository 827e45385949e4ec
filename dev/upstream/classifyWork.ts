import type { RouteSpec } from '../../src/model/RouteSpec.js'
import type { ServiceSpec } from '../../src/model/ServiceSpec.js'
import { WorkClass } from '../../src/model/WorkClass.js'

/** Kind of work of a request, by the rules of its service. */
type Work = Pick<RouteSpec, 'workClass' | 'idempotent'>

/** Finds the rule for a request; `path` may start with the service's path or lack it. */
export function classifyWork (service: ServiceSpec, method: string, path: string): Work {
  const prefix = `/${service.path}`
  const below = path.startsWith(prefix) ? path.slice(prefix.length) : path
  const matching = service.routes
    .filter((route) => route.methods.length === 0 || route.methods.includes(method))
    .filter((route) => below.startsWith(route.prefix) || below.slice(1).startsWith(route.prefix))
    .sort((a, b) => b.prefix.length - a.prefix.length || b.methods.length - a.methods.length)
  return matching[0] ?? { workClass: WorkClass.interactive, idempotent: true }
}
