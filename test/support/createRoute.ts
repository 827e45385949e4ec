import type { Route } from '../../src/routing/Route.js'

/** Builds a route to service `stock` for tests; `change` overrides fields. */
export function createRoute (change: Partial<Route> = {}): Route {
  return {
    name: 'r-1',
    host: 'shop.example',
    prefix: '/stock/',
    kind: 'idempotent',
    parts: [{ service: 'stock', weight: 1 }],
    timeoutMs: 2_000,
    objectiveMs: 500,
    priority: 1,
    maxAttempts: 2,
    hasAffinity: true,
    regions: [],
    ...change
  }
}
