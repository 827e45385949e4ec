import { rankByRendezvous } from '../common/rankByRendezvous.js'
import type { ConfigDoc } from '../model/ConfigDoc.js'
import type { ClaimKey } from './ClaimKey.js'
import { claimLimits } from './claimLimits.js'

/** A replaced set of configured hosts. A key whose home was another host in this set may have been claimed there. */
interface FormerHostSet {
  readonly hosts: readonly string[]
  /** First configuration version with another set of hosts. */
  readonly untilVersion: number
  /** Time in ms since which all hosts that are still configured have applied `untilVersion`; undefined until then. */
  confirmedAtMs?: number
}

/** Finds the home and the witness of a key, and which other hosts may have been its home under earlier configurations. */
export class HomeMap {
  private doc: ConfigDoc | undefined
  private names: readonly string[] = []
  private formerSets: FormerHostSet[] = []
  private bindable: ReadonlySet<string> = new Set()
  private readonly locations = new Map<string, { zone: string, region: string | undefined }>()

  get hosts (): readonly string[] {
    return this.names
  }

  /** Hosts that a key can be bound to: those that are configured now, or were during the retention time. */
  get bindableHosts (): ReadonlySet<string> {
    return this.bindable
  }

  /** Host sets that the completeness of a home's records depends on, the current one first. */
  get hostSets (): string[][] {
    return [this.names, ...this.formerSets.map(({ hosts }) => hosts)].map((hosts) => [...hosts])
  }

  /** Applies a configuration; returns false for one with a lower version or of another lineage. */
  setConfig (doc: ConfigDoc): boolean {
    if (this.doc !== undefined && (doc.version < this.doc.version || doc.lineage !== this.doc.lineage)) return false
    const names = doc.hosts.map(({ name }) => name).sort()
    if (this.doc !== undefined && names.join() !== this.names.join()) this.formerSets.push({ hosts: this.names, untilVersion: doc.version })
    this.doc = doc
    this.names = names
    this.locations.clear()
    const regions = new Map(doc.zones.map((zone) => [zone.name, zone.region]))
    for (const { name, zone } of doc.hosts) this.locations.set(name, { zone, region: regions.get(zone) })
    this.updateBindable()
    return true
  }

  /** Adds the host sets under which an earlier process of this host made its records. */
  addFormerSets (hostSets: readonly (readonly string[])[]): void {
    const version = this.doc?.version ?? 0
    for (const hosts of hostSets) {
      if (hosts.join() !== this.names.join()) this.formerSets.push({ hosts, untilVersion: version })
    }
    this.updateBindable()
  }

  /**
   * Removes former host sets once every host that is still configured has run a later version for the retention
   * time. `versions` holds the applied version of each other host.
   */
  sweep (versions: ReadonlyMap<string, number>, self: string, nowMs: number): void {
    for (const set of this.formerSets) {
      const isConfirmed = set.hosts.every((host) => host === self || !this.names.includes(host) || (versions.get(host) ?? 0) >= set.untilVersion)
      if (isConfirmed) set.confirmedAtMs ??= nowMs
    }
    const kept = this.formerSets.filter(({ confirmedAtMs }) => confirmedAtMs === undefined || nowMs - confirmedAtMs < claimLimits.recordRetentionMs)
    if (kept.length === this.formerSets.length) return
    this.formerSets = kept
    this.updateBindable()
  }

  findHome (key: ClaimKey): string | undefined {
    return key.bound?.host ?? rankByRendezvous(key.id, this.names)[0]
  }

  /** Returns true when `home` is the home of the hashed key in every former host set. */
  hadSameHome (key: ClaimKey, home: string): boolean {
    return this.formerSets.every(({ hosts }) => rankByRendezvous(key.id, hosts)[0] === home)
  }

  /** Returns the witness that holds a copy of the home's record of a key: in another zone of the same region, if there is one. */
  findWitness (id: string, home: string): string | undefined {
    return this.rankWitnesses(id, home)[0]
  }

  /** Returns all other hosts in the order of preference as witnesses: same region, other regions, same zone as the home. */
  rankWitnesses (id: string, home: string): string[] {
    const homeLocation = this.locations.get(home)
    const rankLocation = (name: string): number => {
      const other = this.locations.get(name)
      if (other?.zone === homeLocation?.zone) return 2
      return other?.region === homeLocation?.region ? 0 : 1
    }
    return rankByRendezvous(id, this.names)
      .filter((name) => name !== home)
      .sort((a, b) => rankLocation(a) - rankLocation(b))
  }

  private updateBindable (): void {
    this.bindable = new Set([...this.names, ...this.formerSets.flatMap(({ hosts }) => hosts)])
  }
}
