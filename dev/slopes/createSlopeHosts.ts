import type { HostSpec } from '../../src/model/HostSpec.js'

const hostsPerAddress = 100
const firstPort = 20_000

/** Creates hosts spread evenly over the zones `z-<n>`, each with a distinct pair of address and agent port. */
export function createSlopeHosts (count: number, zoneCount: number): HostSpec[] {
  return Array.from({ length: count }, (_, index) => {
    const agent = firstPort + index % hostsPerAddress
    const address = `127.61.${Math.floor(index / hostsPerAddress / 250)}.${1 + Math.floor(index / hostsPerAddress) % 250}`
    return {
      name: `host-${String(index).padStart(5, '0')}`,
      zone: `z-${index % zoneCount}`,
      address,
      ports: { caller: 8080, internal: 8081, peer: 8082, lookup: 8083, agent, operator: 8085, entryAdmin: 8086 }
    }
  })
}
