import type { Route } from './Route.js'
import type { RoutingConfig } from './RoutingConfig.js'
import type { ServicePolicy } from './ServicePolicy.js'

/** Holds the active configuration; an older version never replaces a newer one. */
export class RoutingTable {
  private current: RoutingConfig | undefined
  private byHost = new Map<string, Route[]>()
  private services = new Map<string, ServicePolicy>()

  get config (): RoutingConfig | undefined {
    return this.current
  }

  /** Activates a configuration; returns false when it is not newer than the active one. */
  apply (config: RoutingConfig): boolean {
    if (this.current !== undefined && config.version <= this.current.version) return false
    this.current = config
    this.byHost = groupByHost(config.routes)
    this.services = new Map(config.services.map((service) => [service.name, service]))
    return true
  }

  /** Returns the route of a host whose prefix is the longest match for a path. */
  find (host: string, path: string): Route | undefined {
    return this.byHost.get(host)?.find((route) => path.startsWith(route.prefix))
  }

  findService (name: string): ServicePolicy | undefined {
    return this.services.get(name)
  }
}

/** Groups routes by host, with the longest prefix first. */
function groupByHost (routes: readonly Route[]): Map<string, Route[]> {
  const byHost = new Map<string, Route[]>()
  for (const route of routes) {
    const group = byHost.get(route.host) ?? []
    group.push(route)
    byHost.set(route.host, group)
  }
  for (const group of byHost.values()) group.sort((a, b) => b.prefix.length - a.prefix.length)
  return byHost
}
