import type { RouteSpec } from '../../src/model/RouteSpec.js'
import type { ServiceSpec } from '../../src/model/ServiceSpec.js'
import { WorkClass } from '../../src/model/WorkClass.js'

/** Work class and idempotency of a request. */
type RequestClass = Pick<RouteSpec, 'workClass' | 'idempotent'>

/** Classifies a request by the routes of its service; `path` may include the service's path or omit it. */
export function classifyRequest (service: ServiceSpec, method: string, path: string): RequestClass {
  const prefix = `/${service.path}`
  const relativePath = path.startsWith(prefix) ? path.slice(prefix.length) : path
  const matching = service.routes
    .filter((route) => route.methods.length === 0 || route.methods.includes(method))
    .filter((route) => relativePath.startsWith(route.prefix) || relativePath.slice(1).startsWith(route.prefix))
    .sort((a, b) => b.prefix.length - a.prefix.length || b.methods.length - a.methods.length)
  return matching[0] ?? { workClass: WorkClass.interactive, idempotent: true }
}
