import type { LinkPlan } from '../proxy/LinkPlan.js'
import type { Deployment } from '../../src/model/Deployment.js'

/** One-way network delays in ms. */
interface LinkDelays {
  readonly betweenZonesMs: number
  readonly betweenRegionsMs: number
  readonly toClientsMs: number
}

/** A host, or the clients of a region, that connect through the proxy. */
interface LinkSource {
  readonly name: string
  readonly zone: string
  readonly region: string
  readonly isClient: boolean
}

/** An address that links connect to. */
type LinkTarget = Pick<LinkPlan, 'target' | 'targetName' | 'targetKind' | 'targetZone' | 'targetRegion'> & {
  readonly forClients: boolean, readonly forHosts: boolean
}

/** A source's listener has the target's address with this much added to the third octet per source. */
const octetsPerSource = 10

/** Plans one link per source and target address; the sources are the hosts and the clients of each region. */
export function planLinks (deployment: Deployment, platform: string, delays: LinkDelays): LinkPlan[] {
  const sources = listSources(deployment)
  const targets = listTargets(deployment, platform)
  return sources.flatMap((source, index) => targets
    .filter((target) => isUsed(source, target))
    .map((target) => createLink(source, index, target, delays)))
}

function listSources ({ hosts, zones }: Deployment): LinkSource[] {
  const regions = [...new Set(zones.map(({ region }) => region))]
  return [
    ...hosts.map(({ name, zone }) => ({ name, zone, region: regionOf(zones, zone), isClient: false })),
    ...regions.map((region) => ({ name: `client-${region}`, zone: `client-${region}`, region, isClient: true }))
  ]
}

function listTargets ({ hosts, endpoints, zones }: Deployment, platform: string): LinkTarget[] {
  const storeZone = zones[0]!
  return [
    ...hosts.flatMap(({ name, zone, address, ports }) => {
      const location = { targetName: name, targetKind: 'host', targetZone: zone, targetRegion: regionOf(zones, zone) } as const
      const internalTargets = [ports.internal, ports.peer, ports.agent]
        .map((port) => ({ ...location, target: `${address}:${port}`, forClients: false, forHosts: true }))
      const callerTargets = [ports.caller, ports.lookup]
        .map((port) => ({ ...location, target: `${address}:${port}`, forClients: true, forHosts: false }))
      return [...internalTargets, ...callerTargets]
    }),
    ...endpoints.map(({ name, zone, address }): LinkTarget => ({
      target: address, targetName: name, targetKind: 'endpoint', targetZone: zone, targetRegion: regionOf(zones, zone), forClients: false, forHosts: true
    })),
    { target: platform, targetName: 'platform', targetKind: 'platform', targetZone: 'platform', targetRegion: storeZone.region, forClients: false, forHosts: true }
  ]
}

function isUsed (source: LinkSource, target: LinkTarget): boolean {
  if (target.targetKind === 'host' && target.targetName === source.name) return false
  return source.isClient ? target.forClients : target.forHosts
}

function createLink (
  source: LinkSource, index: number, { forClients: _clients, forHosts: _hosts, ...target }: LinkTarget, delays: LinkDelays
): LinkPlan {
  const sameRegion = source.region === target.targetRegion
  const link = {
    ...target,
    listen: shiftThirdOctet(target.target, (index + 1) * octetsPerSource),
    source: source.name,
    sourceZone: source.zone,
    sourceRegion: source.region,
    delayMs: findDelay(source, target, delays)
  }
  if (sameRegion || source.isClient) return link
  return { ...link, forwardGroup: `${source.region}>${target.targetRegion}`, backwardGroup: `${target.targetRegion}>${source.region}` }
}

function findDelay (source: LinkSource, target: Pick<LinkTarget, 'targetZone' | 'targetRegion'>, delays: LinkDelays): number {
  const regionDelayMs = source.region === target.targetRegion ? 0 : delays.betweenRegionsMs
  if (source.isClient) return delays.toClientsMs + regionDelayMs
  if (regionDelayMs > 0) return regionDelayMs
  return source.zone === target.targetZone ? 0 : delays.betweenZonesMs
}

function shiftThirdOctet (address: string, octets: number): string {
  const [first, second, third, lastOctet] = address.split('.')
  return `${first}.${second}.${Number(third) + octets}.${lastOctet}`
}

function regionOf (zones: Deployment['zones'], zone: string): string {
  return zones.find(({ name }) => name === zone)?.region ?? zone
}
