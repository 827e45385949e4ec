import type { ConfigDoc } from '../model/ConfigDoc.js'
import type { RouteSpec } from '../model/RouteSpec.js'
import type { ServiceSpec } from '../model/ServiceSpec.js'

/** A service with its routes, the longest prefix first. */
interface ServiceRoutes {
  readonly service: ServiceSpec
  readonly routes: ReadonlyArray<{ readonly spec: RouteSpec, readonly prefix: string }>
}

/** Finds services by path, and the route for a path and method. */
export class RouteTable {
  private readonly services: ReadonlyMap<string, ServiceRoutes>

  constructor (doc: ConfigDoc) {
    this.services = new Map(doc.services.map((service) => [service.path, sortRoutes(service)]))
  }

  findService (path: string): ServiceSpec | undefined {
    return this.services.get(path)?.service
  }

  /** Returns the first route that matches; `subpath` is the path below the path of the service. */
  findRoute (path: string, subpath: string, method: string): RouteSpec | undefined {
    const routes = this.services.get(path)?.routes ?? []
    for (const { spec, prefix } of routes) {
      if (!matchesPrefix(subpath, prefix)) continue
      if (spec.methods.length === 0 || spec.methods.includes(method)) return spec
    }
    return undefined
  }
}

// With the same prefix, routes for certain methods come before routes for all methods.
function sortRoutes (service: ServiceSpec): ServiceRoutes {
  const routes = service.routes.map((spec) => ({ spec, prefix: trimSlashes(spec.prefix) }))
  routes.sort((a, b) => b.prefix.length - a.prefix.length || Number(a.spec.methods.length === 0) - Number(b.spec.methods.length === 0))
  return { service, routes }
}

function trimSlashes (prefix: string): string {
  const trimmed = prefix.replace(/^\/+|\/+$/g, '')
  return trimmed === '' ? '' : `/${trimmed}`
}

function matchesPrefix (subpath: string, prefix: string): boolean {
  return subpath.startsWith(prefix) && (subpath.length === prefix.length || prefix === '' || subpath[prefix.length] === '/')
}
