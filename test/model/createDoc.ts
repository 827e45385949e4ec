import type { ConfigDoc } from '../../src/model/ConfigDoc.js'
import type { Contract } from '../../src/model/Contract.js'
import type { HostSpec } from '../../src/model/HostSpec.js'

const ports = { caller: 1, internal: 2, peer: 3, lookup: 4, agent: 5, operator: 6, entryAdmin: 7 }

/** Names of seven hosts in six zones of three regions, as in the example deployment. */
export const hostNames = ['a1', 'a2', 'b1', 'c1', 'd1', 'e1', 'f1'] as const

const zones = ['a', 'b', 'c', 'd', 'e', 'f'].map((name, index) => ({ name, region: `region${Math.floor(index / 2)}` }))

export function createHost (name: string): HostSpec {
  return { name, zone: name.charAt(0), address: '127.21.0.1', ports }
}

export function createContract (overrides: Partial<Contract> = {}): Contract {
  return {
    customer: 'gyms',
    version: 1,
    credentialHashes: [],
    services: [],
    rate: 120,
    burst: 60,
    concurrency: 40,
    uploadBytesPerSecond: 4_000_000,
    regionShare: 1,
    moveStep: 0.2,
    priority: 1,
    ...overrides
  }
}

/** Creates a configuration with the seven hosts. */
export function createDoc (overrides: Partial<ConfigDoc> = {}): ConfigDoc {
  return {
    lineage: 'test',
    version: 1,
    zones,
    hosts: hostNames.map(createHost),
    services: [],
    endpoints: [],
    links: [],
    objective: { latency: 1, headroom: 0 },
    contracts: [createContract()],
    drains: [],
    priorCaps: [],
    ...overrides
  }
}

/** Returns the one-way delay in ms between two of the hosts. */
export function findDelayMs (from: string, to: string): number {
  const regionOf = (name: string): string | undefined => zones.find((zone) => zone.name === name.charAt(0))?.region
  return regionOf(from) === regionOf(to) ? 1 : 35
}
