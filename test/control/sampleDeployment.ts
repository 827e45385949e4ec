import type { Deployment } from '../../src/model/Deployment.js'

const ports = { caller: 8080, internal: 8081, peer: 8082, lookup: 8083, agent: 8084, operator: 8085, entryAdmin: 8086 }

const route = { methods: [], prefix: '', workClass: 'interactive', idempotent: true, defaultDeadlineMs: 1_000, maxBodyBytes: 65_536 } as const

/** Returns a deployment with one endpoint per zone; host `a-1` is in zone `a`, and `net` is the prefix of its address. */
export function sampleDeployment (hosts: readonly string[], net = '127.20.9'): Deployment {
  const zones = [...new Set(hosts.map((name) => name.slice(0, name.lastIndexOf('-'))))]
  return {
    lineage: 'sample',
    zones: zones.map((name) => ({ name, region: 'r' })),
    hosts: hosts.map((name, i) => ({ name, zone: name.slice(0, name.lastIndexOf('-')), address: `${net}.${i + 1}`, ports })),
    services: [{ name: 'stock', path: 'stock', routes: [route] }],
    endpoints: zones.map((zone, i) => ({ name: `stock-${zone}`, service: 'stock', zone, address: `127.20.99.${i + 1}:9000`, slots: 5, maxConnections: 100 })),
    links: [],
    objective: { latency: 1, headroom: 1 }
  }
}
