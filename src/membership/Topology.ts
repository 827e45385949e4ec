import type { ConfigDoc } from '../model/ConfigDoc.js'

/** Indexes the configured hosts by zone and holds the addresses of their agents; built once per configuration. */
export class Topology {
  /** Zone of each host. */
  readonly zones = new Map<string, string>()
  /** Agent address of each host, as `a.b.c.d:port`. */
  readonly addresses = new Map<string, string>()
  /** All hosts, sorted by name. */
  readonly hosts: readonly string[]
  private readonly byZone = new Map<string, string[]>()

  constructor (doc: Pick<ConfigDoc, 'hosts'> | undefined) {
    const specs = (doc?.hosts ?? []).toSorted((a, b) => a.name < b.name ? -1 : 1)
    this.hosts = specs.map(({ name }) => name)
    for (const { name, zone, address, ports } of specs) {
      this.zones.set(name, zone)
      this.addresses.set(name, `${address}:${ports.agent}`)
      const names = this.byZone.get(zone)
      if (names === undefined) this.byZone.set(zone, [name])
      else names.push(name)
    }
  }

  /** Lists the hosts of a zone, sorted by name. */
  listZone (zone: string): readonly string[] {
    return this.byZone.get(zone) ?? []
  }

  listZones (): IterableIterator<string> {
    return this.byZone.keys()
  }
}
