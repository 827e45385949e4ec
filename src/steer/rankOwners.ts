import { rankByRendezvous } from '../common/rankByRendezvous.js'
import type { ConfigDoc } from '../model/ConfigDoc.js'
import { DrainKind } from '../model/DrainKind.js'
import type { EndpointSpec } from '../model/EndpointSpec.js'

/**
 * Returns the names of the hosts that may own an endpoint, the primary first: the hosts of its zone, then those of the
 * other zones of its region. Hosts that the configuration drains are left out.
 */
export function rankOwners (doc: ConfigDoc, endpoint: EndpointSpec): string[] {
  const regionOf = new Map(doc.zones.map((zone) => [zone.name, zone.region]))
  const region = regionOf.get(endpoint.zone)
  const hosts = doc.hosts.filter((host) => !isHostDrained(doc, host.name))
  const inZone = hosts.filter((host) => host.zone === endpoint.zone)
  const inRegion = hosts.filter((host) => host.zone !== endpoint.zone && regionOf.get(host.zone) === region)
  return [
    ...rankByRendezvous(endpoint.name, inZone.map((host) => host.name)),
    ...rankByRendezvous(endpoint.name, inRegion.map((host) => host.name))
  ]
}

function isHostDrained (doc: ConfigDoc, host: string): boolean {
  return doc.drains.some((drain) => drain.kind === DrainKind.host && drain.name === host)
}
