import type { ConfigDoc } from '../model/ConfigDoc.js'
import type { Contract } from '../model/Contract.js'
import type { HostSpec } from '../model/HostSpec.js'
import { computePortions } from '../share/computePortions.js'

/** Names of a customer's home hosts, with the concurrency for which they were computed. */
interface HomeHosts {
  readonly concurrency: number
  readonly hostNames: readonly string[]
}

/** Index of a configuration document for lookups; built once per version. */
export class LookupIndex {
  readonly zoneRegions: ReadonlyMap<string, string>
  readonly regions: ReadonlySet<string>
  private readonly hosts: ReadonlyMap<string, HostSpec>
  private readonly contracts = new Map<string, Contract>()
  private readonly drainedItems: ReadonlySet<string>
  private readonly linkRates = new Map<string, number>()
  private readonly homeHosts: Map<string, HomeHosts>

  /** Reuses the home hosts of the previous index when the hosts are unchanged, because ranking 7,000 hosts takes 37 ms. */
  constructor (readonly doc: ConfigDoc, previous?: LookupIndex) {
    this.homeHosts = previous !== undefined && hasSameHosts(previous.doc, doc) ? previous.homeHosts : new Map<string, HomeHosts>()
    this.zoneRegions = new Map(doc.zones.map(({ name, region }) => [name, region]))
    this.regions = new Set(doc.zones.map(({ region }) => region))
    this.hosts = new Map(doc.hosts.map((host) => [host.name, host]))
    this.drainedItems = new Set(doc.drains.map(({ kind, name }) => `${kind}:${name}`))
    for (const contract of doc.contracts) for (const hash of contract.credentialHashes) this.contracts.set(hash, contract)
    for (const { regions: [a, b], bytesPerSecond } of doc.links) {
      this.linkRates.set(`${a}|${b}`, bytesPerSecond)
      this.linkRates.set(`${b}|${a}`, bytesPerSecond)
    }
  }

  /** Returns the contract that accepts the credential with this hash. */
  findContract (credentialHash: string): Contract | undefined {
    return this.contracts.get(credentialHash)
  }

  /** Returns a customer's home hosts with at least one permit, ranked by rendezvous hashing (design 7.1). */
  listHomeHosts (contract: Contract): readonly HostSpec[] {
    return this.getHomeHosts(contract).hostNames.map((name) => this.hosts.get(name)!)
  }

  isDrained (host: HostSpec): boolean {
    return this.drainedItems.has(`host:${host.name}`) || this.drainedItems.has(`zone:${host.zone}`)
  }

  linkBytesPerSecond (from: string, to: string): number {
    return this.linkRates.get(`${from}|${to}`) ?? 0
  }

  /** Returns the regions with an endpoint of the service that is drained neither itself nor with its zone. */
  listServiceRegions (service: string): Set<string> {
    const usable = this.doc.endpoints.filter(({ name, zone, service: provided }) =>
      provided === service && !this.drainedItems.has(`upstream:${name}`) && !this.drainedItems.has(`zone:${zone}`))
    return new Set(usable.map(({ zone }) => this.zoneRegions.get(zone) ?? ''))
  }

  private getHomeHosts (contract: Contract): HomeHosts {
    const { customer, concurrency } = contract
    const cached = this.homeHosts.get(customer)
    if (cached?.concurrency === concurrency) return cached
    const hostNames = [...computePortions(this.doc, contract)].filter(([, { permits }]) => permits > 0).map(([name]) => name)
    const computed = { concurrency, hostNames }
    this.homeHosts.set(customer, computed)
    return computed
  }
}

/** Compares names and zones, the only properties of hosts on which home hosts depend. */
function hasSameHosts (a: ConfigDoc, b: ConfigDoc): boolean {
  return a.hosts.length === b.hosts.length && a.hosts.every(({ name, zone }, index) => b.hosts[index]?.name === name && b.hosts[index].zone === zone)
}
