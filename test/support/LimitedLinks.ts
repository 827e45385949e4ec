import { BandwidthGroup } from '../../dev/proxy/BandwidthGroup.js'
import { Link } from '../../dev/proxy/Link.js'
import type { HostSettings } from '../../src/host/HostSettings.js'
import { findFreeAddresses } from './findFreeAddresses.js'

/** Proxies the connections between hosts, each of which sends at most `bytesPerSecond` to all others together. */
export class LimitedLinks {
  private readonly groups = new Map<string, BandwidthGroup>()
  private readonly links: Link[] = []

  /** By default the connections of all hosts are proxied, and not limited. */
  constructor (private readonly bytesPerSecond = Infinity, private readonly isProxied: (host: string) => boolean = () => true) {}

  /** Routes the connections between two hosts through the proxy. */
  async connect (one: HostSettings, other: HostSettings): Promise<void> {
    if (!this.isProxied(one.name) && !this.isProxied(other.name)) return
    await this.open(one, other)
    await this.open(other, one)
  }

  /** Lets all connections of a host to other hosts fall silent, also new ones, as when it loses power. */
  async silence (host: string): Promise<void> {
    const affected = this.links.filter(({ plan }) => plan.source === host || plan.targetName === host)
    await Promise.all(affected.map(async (link) => { await link.setFaults({ silentForward: true, silentBackward: true }) }))
  }

  async close (): Promise<void> {
    await Promise.all(this.links.map(async (link) => { await link.close() }))
  }

  private async open (source: HostSettings, target: HostSettings): Promise<void> {
    const listen = (await findFreeAddresses(1))[0]!
    const link = new Link({
      listen,
      target: target.listen.peers,
      source: source.name,
      sourceZone: source.zone,
      sourceRegion: source.region,
      targetName: target.name,
      targetKind: 'host',
      targetZone: target.zone,
      targetRegion: target.region,
      delayMs: 1,
      forwardGroup: this.ensureGroup(source.name),
      backwardGroup: this.ensureGroup(target.name)
    }, this.groups)
    this.links.push(link)
    await link.open()
    Object.assign(source.dial, { [target.listen.peers]: listen })
  }

  private ensureGroup (name: string): string {
    if (!this.groups.has(name)) this.groups.set(name, new BandwidthGroup(this.bytesPerSecond))
    return name
  }
}
