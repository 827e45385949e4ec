import type { RoutingConfig } from '../../src/routing/RoutingConfig.js'
import { createRoute } from './createRoute.js'

/** Builds a routing configuration with one route and one service for tests; `change` overrides fields. */
export function createRoutingConfig (change: Partial<RoutingConfig> = {}): RoutingConfig {
  return {
    version: 1,
    routes: [createRoute()],
    services: [{ name: 'stock', healthPath: '/health', maxConnections: 100, coldPerSecond: 5 }],
    limits: { headerBytes: 16_384, bodyBytes: 1_000_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    ...change
  }
}
