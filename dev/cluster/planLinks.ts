import type { LinkPlan } from '../proxy/LinkPlan.js'
import type { Deployment } from '../../src/model/Deployment.js'

/** Delays between places, in ms one way. */
interface Delays {
  readonly betweenZonesMs: number
  readonly betweenRegionsMs: number
  readonly toClientsMs: number
}

/** Who connects through the proxy. */
interface Source {
  readonly name: string
  readonly zone: string
  readonly region: string
  readonly isClient: boolean
}

/** An address that links lead to. */
type Target = Pick<LinkPlan, 'target' | 'targetName' | 'targetKind' | 'targetZone' | 'targetRegion'> & { readonly forClients: boolean, readonly forHosts: boolean }

/** Position of a source's listeners: the third octet of the target's address plus this much per source. */
const octetsPerSource = 10

/** Makes one link per source and target address; the sources are the hosts and the clients of each region. */
export function planLinks (deployment: Deployment, platform: string, delays: Delays): LinkPlan[] {
  const sources = listSources(deployment)
  const targets = listTargets(deployment, platform)
  return sources.flatMap((source, index) => targets
    .filter((target) => isUsed(source, target))
    .map((target) => createLink(source, index, target, delays)))
}

function listSources ({ hosts, zones }: Deployment): Source[] {
  const regions = [...new Set(zones.map(({ region }) => region))]
  return [
    ...hosts.map(({ name, zone }) => ({ name, zone, region: regionOf(zones, zone), isClient: false })),
    ...regions.map((region) => ({ name: `client-${region}`, zone: `client-${region}`, region, isClient: true }))
  ]
}

function listTargets ({ hosts, endpoints, zones }: Deployment, platform: string): Target[] {
  const storeZone = zones[0]!
  return [
    ...hosts.flatMap(({ name, zone, address, ports }) => {
      const place = { targetName: name, targetKind: 'host', targetZone: zone, targetRegion: regionOf(zones, zone) } as const
      const own = [ports.internal, ports.peer, ports.agent].map((port) => ({ ...place, target: `${address}:${port}`, forClients: false, forHosts: true }))
      const open = [ports.caller, ports.lookup].map((port) => ({ ...place, target: `${address}:${port}`, forClients: true, forHosts: false }))
      return [...own, ...open]
    }),
    ...endpoints.map(({ name, zone, address }): Target => ({
      target: address, targetName: name, targetKind: 'endpoint', targetZone: zone, targetRegion: regionOf(zones, zone), forClients: false, forHosts: true
    })),
    { target: platform, targetName: 'platform', targetKind: 'platform', targetZone: 'platform', targetRegion: storeZone.region, forClients: false, forHosts: true }
  ]
}

function isUsed (source: Source, target: Target): boolean {
  if (target.targetKind === 'host' && target.targetName === source.name) return false
  return source.isClient ? target.forClients : target.forHosts
}

function createLink (source: Source, index: number, { forClients: _clients, forHosts: _hosts, ...target }: Target, delays: Delays): LinkPlan {
  const sameRegion = source.region === target.targetRegion
  const link = {
    ...target,
    listen: moveAddress(target.target, (index + 1) * octetsPerSource),
    source: source.name,
    sourceZone: source.zone,
    sourceRegion: source.region,
    delayMs: findDelay(source, target, delays)
  }
  if (sameRegion || source.isClient) return link
  return { ...link, forwardGroup: `${source.region}>${target.targetRegion}`, backwardGroup: `${target.targetRegion}>${source.region}` }
}

function findDelay (source: Source, target: Pick<Target, 'targetZone' | 'targetRegion'>, delays: Delays): number {
  const acrossMs = source.region === target.targetRegion ? 0 : delays.betweenRegionsMs
  if (source.isClient) return delays.toClientsMs + acrossMs
  if (acrossMs > 0) return acrossMs
  return source.zone === target.targetZone ? 0 : delays.betweenZonesMs
}

function moveAddress (address: string, octets: number): string {
  const [first, second, third, rest] = address.split('.')
  return `${first}.${second}.${Number(third) + octets}.${rest}`
}

function regionOf (zones: Deployment['zones'], zone: string): string {
  return zones.find(({ name }) => name === zone)?.region ?? zone
}
