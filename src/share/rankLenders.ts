import type { ConfigDoc } from '../model/ConfigDoc.js'

/** Ranks the other hosts by distance from `host`: same zone, same region, then the others. Equally near hosts keep their order. */
export function rankLenders (doc: ConfigDoc, host: string, hosts: readonly string[]): string[] {
  const zones = new Map(doc.hosts.map(({ name, zone }) => [name, zone]))
  const regions = new Map(doc.zones.map(({ name, region }) => [name, region]))
  const ownZone = zones.get(host) ?? ''
  const measureDistance = (name: string): number => {
    const zone = zones.get(name) ?? ''
    if (zone === ownZone) return 0
    return regions.get(zone) === regions.get(ownZone) ? 1 : 2
  }
  return hosts.filter((name) => name !== host).sort((a, b) => measureDistance(a) - measureDistance(b))
}
