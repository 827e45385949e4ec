import type { ConfigDoc } from '../model/ConfigDoc.js'
import type { Contract } from '../model/Contract.js'
import type { HostSpec } from '../model/HostSpec.js'
import { computePortions } from '../share/computePortions.js'

/** A configuration document arranged for look-ups; made once for each version. */
export class LookupIndex {
  readonly zoneRegions: ReadonlyMap<string, string>
  readonly regions: ReadonlySet<string>
  private readonly hosts: ReadonlyMap<string, HostSpec>
  private readonly contracts = new Map<string, Contract>()
  private readonly drained: ReadonlySet<string>
  private readonly links = new Map<string, number>()
  private readonly homes = new Map<string, readonly HostSpec[]>()

  constructor (readonly doc: ConfigDoc) {
    this.zoneRegions = new Map(doc.zones.map(({ name, region }) => [name, region]))
    this.regions = new Set(doc.zones.map(({ region }) => region))
    this.hosts = new Map(doc.hosts.map((host) => [host.name, host]))
    this.drained = new Set(doc.drains.map(({ kind, name }) => `${kind}:${name}`))
    for (const contract of doc.contracts) for (const hash of contract.credentialHashes) this.contracts.set(hash, contract)
    for (const { regions: [a, b], bytesPerSecond } of doc.links) {
      this.links.set(`${a}|${b}`, bytesPerSecond)
      this.links.set(`${b}|${a}`, bytesPerSecond)
    }
  }

  /** Contract that accepts the credential with this hash. */
  findContract (credentialHash: string): Contract | undefined {
    return this.contracts.get(credentialHash)
  }

  /** Home hosts of a customer that hold at least one permit, in their rendezvous order (design 7.1). */
  listHomes (contract: Contract): readonly HostSpec[] {
    const known = this.homes.get(contract.customer)
    if (known !== undefined) return known
    const homes = [...computePortions(this.doc, contract)].filter(([, { permits }]) => permits > 0).map(([name]) => this.hosts.get(name)!)
    this.homes.set(contract.customer, homes)
    return homes
  }

  isDrained (host: HostSpec): boolean {
    return this.drained.has(`host:${host.name}`) || this.drained.has(`zone:${host.zone}`)
  }

  linkBytesPerSecond (from: string, to: string): number {
    return this.links.get(`${from}|${to}`) ?? 0
  }

  /** Regions with an endpoint of the service that is not drained and whose zone is not. */
  listServiceRegions (service: string): Set<string> {
    const usable = this.doc.endpoints.filter(({ name, zone, service: own }) => own === service && !this.drained.has(`upstream:${name}`) && !this.drained.has(`zone:${zone}`))
    return new Set(usable.map(({ zone }) => this.zoneRegions.get(zone) ?? ''))
  }
}
