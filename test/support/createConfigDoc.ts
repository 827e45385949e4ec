import type { ConfigDoc } from '../../src/model/ConfigDoc.js'
import type { Contract } from '../../src/model/Contract.js'
import type { EndpointSpec } from '../../src/model/EndpointSpec.js'

const ports = { caller: 8080, internal: 8081, peer: 8082, lookup: 8083, agent: 8084, operator: 8085, entryAdmin: 8086 }

/** Contents of a small configuration for tests. */
interface DocOptions {
  /** Names of the form `<region>-<zone>-<number>`. */
  readonly hosts?: readonly string[]
  readonly endpoints?: readonly Partial<EndpointSpec>[]
  readonly contracts?: readonly Contract[]
  readonly change?: Partial<ConfigDoc>
}

/** Builds a configuration document with one service, `stock`; the zones follow from the host names. */
export function createConfigDoc (options: DocOptions = {}): ConfigDoc {
  const hosts = options.hosts ?? ['north-a-1', 'north-b-1', 'south-a-1']
  const zones = [...new Set(hosts.map(zoneOf))]
  return {
    lineage: 'test',
    version: 1,
    zones: zones.map((name) => ({ name, region: name.split('-')[0]! })),
    hosts: hosts.map((name, index) => ({ name, zone: zoneOf(name), address: `127.9.0.${index + 1}`, ports })),
    services: [{ name: 'stock', path: 'stock', routes: [] }],
    endpoints: (options.endpoints ?? []).map((endpoint, index) => ({
      name: `stock-${index + 1}`, service: 'stock', zone: zones[0]!, address: `127.9.1.1:${9_001 + index}`, slots: 5, maxConnections: 400, ...endpoint
    })),
    links: [{ regions: ['north', 'south'], bytesPerSecond: 35_000_000, orderWeight: 3, bulkWeight: 1, bulkMinimum: 0.1 }],
    objective: { latency: 0.8, headroom: 0.2 },
    contracts: options.contracts ?? [],
    drains: [],
    priorCaps: [],
    ...options.change
  }
}

function zoneOf (host: string): string {
  return host.slice(0, host.lastIndexOf('-'))
}
