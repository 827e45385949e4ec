import type { EndpointRecord } from '../../src/endpoints/EndpointRecord.js'

/** Builds the registry entry of an endpoint of service `stock` for tests; `change` overrides fields. */
export function createEndpoint (id: string, change: Partial<EndpointRecord> = {}): EndpointRecord {
  return { id, address: `10.0.0.1:${id.length}`, service: 'stock', zone: 'north-a', slots: 4, isDraining: false, coldMs: 0, bornAtMs: 1, ...change }
}
