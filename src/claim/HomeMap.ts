import { rankByRendezvous } from '../common/rankByRendezvous.js'
import type { ConfigDoc } from '../model/ConfigDoc.js'
import type { ClaimKey } from './ClaimKey.js'
import { claimLimits } from './claimLimits.js'

/** A set of configured hosts that was replaced; keys that it placed elsewhere may have been claimed there. */
interface FormerHosts {
  readonly hosts: readonly string[]
  /** First configuration version without this set. */
  readonly untilVersion: number
  /** Time since which all hosts that are still configured run `untilVersion`; undefined before. */
  confirmedMs?: number
}

/** Tells which host is the home of a key, which is its witness, and where else a key's home may have been. */
export class HomeMap {
  private doc: ConfigDoc | undefined
  private names: readonly string[] = []
  private former: FormerHosts[] = []
  private known: ReadonlySet<string> = new Set()
  private readonly regions = new Map<string, { zone: string, region: string | undefined }>()

  get hosts (): readonly string[] {
    return this.names
  }

  /** Names that make a key bound: hosts that are configured, or were during the retention time. */
  get boundNames (): ReadonlySet<string> {
    return this.known
  }

  /** Sets of hosts that count for the completeness of a home's memory, the present one first. */
  get hostSets (): string[][] {
    return [this.names, ...this.former.map(({ hosts }) => hosts)].map((hosts) => [...hosts])
  }

  /** Returns false for a document with a lower version or of another lineage. */
  setConfig (doc: ConfigDoc): boolean {
    if (this.doc !== undefined && (doc.version < this.doc.version || doc.lineage !== this.doc.lineage)) return false
    const names = doc.hosts.map(({ name }) => name).sort()
    if (this.doc !== undefined && names.join() !== this.names.join()) this.former.push({ hosts: this.names, untilVersion: doc.version })
    this.doc = doc
    this.names = names
    this.regions.clear()
    const regions = new Map(doc.zones.map((zone) => [zone.name, zone.region]))
    for (const { name, zone } of doc.hosts) this.regions.set(name, { zone, region: regions.get(zone) })
    this.updateKnown()
    return true
  }

  /** Takes over the sets of hosts under which an earlier process of this host had its memory. */
  addFormer (hostSets: readonly (readonly string[])[]): void {
    const version = this.doc?.version ?? 0
    for (const hosts of hostSets) {
      if (hosts.join() !== this.names.join()) this.former.push({ hosts, untilVersion: version })
    }
    this.updateKnown()
  }

  /**
   * Forgets former sets of hosts once every host that is still configured has run the later version for the
   * retention time. `versions` holds the applied version of the other hosts.
   */
  sweep (versions: ReadonlyMap<string, number>, self: string, nowMs: number): void {
    for (const set of this.former) {
      const isConfirmed = set.hosts.every((host) => host === self || !this.names.includes(host) || (versions.get(host) ?? 0) >= set.untilVersion)
      if (isConfirmed) set.confirmedMs ??= nowMs
    }
    const kept = this.former.filter(({ confirmedMs }) => confirmedMs === undefined || nowMs - confirmedMs < claimLimits.memoryMs)
    if (kept.length === this.former.length) return
    this.former = kept
    this.updateKnown()
  }

  findHome (key: ClaimKey): string | undefined {
    return key.bound?.host ?? rankByRendezvous(key.id, this.names)[0]
  }

  /** True when every set of hosts that counts gives the hashed key the same home. */
  hadSameHome (key: ClaimKey, home: string): boolean {
    return this.former.every(({ hosts }) => rankByRendezvous(key.id, hosts)[0] === home)
  }

  /** The host that keeps copies of a home's claims on a key: same region and another zone, if there is one. */
  findWitness (id: string, home: string): string | undefined {
    return this.rankWitnesses(id, home)[0]
  }

  rankWitnesses (id: string, home: string): string[] {
    const place = this.regions.get(home)
    const measure = (name: string): number => {
      const other = this.regions.get(name)
      if (other?.zone === place?.zone) return 2
      return other?.region === place?.region ? 0 : 1
    }
    return rankByRendezvous(id, this.names)
      .filter((name) => name !== home)
      .sort((a, b) => measure(a) - measure(b))
  }

  private updateKnown (): void {
    this.known = new Set([...this.names, ...this.former.flatMap(({ hosts }) => hosts)])
  }
}
