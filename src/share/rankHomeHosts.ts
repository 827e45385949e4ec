import { rankByRendezvous } from '../common/rankByRendezvous.js'
import { shareLimits } from './shareLimits.js'

/** A host name with its zone. */
interface PlacedHost {
  readonly name: string
  readonly zone: string
}

/** Returns the home hosts of a customer, ranked by rendezvous hashing; every zone gets one host before any zone gets a second. */
export function rankHomeHosts (customer: string, hosts: readonly PlacedHost[]): string[] {
  const zones = new Map(hosts.map(({ name, zone }) => [name, zone]))
  const hostsPerZone = new Map<string, number>()
  const ranked = rankByRendezvous(customer, [...zones.keys()]).map((name, index) => {
    const zone = zones.get(name) ?? ''
    const round = hostsPerZone.get(zone) ?? 0
    hostsPerZone.set(zone, round + 1)
    return { name, round, index }
  })
  return ranked
    .sort((a, b) => a.round - b.round || a.index - b.index)
    .slice(0, shareLimits.maxHomeHosts)
    .map(({ name }) => name)
}
