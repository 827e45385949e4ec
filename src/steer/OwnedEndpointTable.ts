import { Table } from '../common/Table.js'
import type { ConfigDoc } from '../model/ConfigDoc.js'
import { DrainKind } from '../model/DrainKind.js'
import type { EndpointSpec } from '../model/EndpointSpec.js'
import type { Member } from '../model/Member.js'
import type { ServiceLoad } from '../model/ServiceLoad.js'
import type { View } from '../model/View.js'
import { countFreeSlots } from './countFreeSlots.js'
import { countUsableSlots } from './countUsableSlots.js'
import { createOwnedEndpointRow } from './createOwnedEndpointRow.js'
import { decideOwnership } from './decideOwnership.js'
import type { OwnedEndpointRow } from './OwnedEndpointRow.js'
import { rankOwners } from './rankOwners.js'
import { steerLimits } from './steerLimits.js'
import { update } from '../common/update.js'

/** State from which the ownership of endpoints follows. */
interface OwnershipContext {
  readonly doc: ConfigDoc
  readonly view: View | undefined
  readonly isViewFresh: boolean
  readonly isLeaving: boolean
}

/** An endpoint with the hosts that may own it, the primary first. */
interface OwnableEndpoint {
  readonly spec: EndpointSpec
  readonly ranking: readonly string[]
}

/** Endpoints that this host owns, or where it still has requests in flight. */
export class OwnedEndpointTable {
  private readonly rows = new Table<OwnedEndpointRow>()
  /** Endpoints for which this host is in the ranking. */
  private ownable: OwnableEndpoint[] = []
  /** Configuration from which the rankings were computed. */
  private rankedDoc: ConfigDoc | undefined

  constructor (private readonly host: string) {}

  get (endpoint: string): OwnedEndpointRow | undefined {
    return this.rows.get(endpoint)
  }

  [Symbol.iterator] (): IterableIterator<OwnedEndpointRow> {
    return this.rows[Symbol.iterator]()
  }

  /** Updates ownership and drains. */
  update (input: OwnershipContext): void {
    this.updateRankings(input.doc)
    const members = new Map<string, Member>(input.view?.members.map((member) => [member.host, member]))
    const regionOf = new Map(input.doc.zones.map((zone) => [zone.name, zone.region]))
    const leaving = collectLeaving(input.doc, input.view)
    for (const { spec, ranking } of this.ownable) {
      const ownership = decideOwnership({ ...input, host: this.host, ranking, members })
      this.updateRow(spec, regionOf.get(spec.zone) ?? '', ownership, leaving.has(spec.name) || leaving.has(spec.zone))
    }
    this.rows.deleteWhere((row) => row.ownership === 'none' && row.inFlight === 0)
  }

  /** Returns the owned endpoint of a service with the largest fraction of free slots; undefined when none has a free slot. */
  findMostFree (service: string, excluded: ReadonlySet<string>, nowMs: number): OwnedEndpointRow | undefined {
    let best: OwnedEndpointRow | undefined
    let bestScore = 0
    for (const row of this.rows) {
      if (row.spec.service !== service || excluded.has(row.spec.name)) continue
      const score = countFreeSlots(row, nowMs) / row.spec.slots
      if (score > bestScore) {
        best = row
        bestScore = score
      }
    }
    return best
  }

  /** Returns the endpoints that are due for a probe and schedules the next one. */
  takeDueProbes (nowMs: number): OwnedEndpointRow[] {
    const due: OwnedEndpointRow[] = []
    for (const row of this.rows) {
      if (row.ownership === 'none' || nowMs < row.nextProbeAtMs) continue
      const isFast = row.isEjected || row.ownership === 'adopter' || row.report === undefined
      row.nextProbeAtMs = nowMs + (isFast ? steerLimits.fastProbeIntervalMs : steerLimits.probeIntervalMs)
      due.push(row)
    }
    return due
  }

  /** Returns true when this host owns an endpoint of the service. */
  ownsService (service: string): boolean {
    return [...this.rows].some((row) => row.spec.service === service && row.ownership !== 'none')
  }

  /** Returns the load of a service, summed over the owned endpoints. The queue is not counted. */
  loadOf (service: string, nowMs: number): ServiceLoad {
    let slots = 0
    let used = 0
    let serviceMs = 0
    for (const row of this.rows) {
      if (row.spec.service !== service || row.ownership === 'none') continue
      const usable = countUsableSlots(row, nowMs)
      slots += usable
      used += usable - Math.min(usable, countFreeSlots(row, nowMs))
      serviceMs = Math.max(serviceMs, row.serviceMs)
    }
    return { service, slots, used, queued: 0, serviceMs }
  }

  /** Returns the load of each service of which this host owns endpoints. Queues are not counted. */
  listLoads (nowMs: number): ServiceLoad[] {
    const owned = [...this.rows].filter((row) => row.ownership !== 'none')
    const services = new Set(owned.map((row) => row.spec.service))
    return [...services].map((service) => this.loadOf(service, nowMs))
  }

  private updateRow (spec: EndpointSpec, region: string, ownership: OwnedEndpointRow['ownership'], isDrainRequested: boolean): void {
    const existing = this.rows.get(spec.name)
    if (existing === undefined && ownership === 'none') return
    const row = existing ?? this.rows.set(spec.name, createOwnedEndpointRow(spec, region))
    // Reports of another address, or from before a time without probes, are out of date.
    const isNew = row.spec.address !== spec.address || (row.ownership === 'none' && ownership !== 'none')
    if (isNew) update(row, { report: undefined, lastUsedByOthers: Infinity })
    row.spec = spec
    row.region = region
    row.ownership = ownership
    row.isDrainRequested = isDrainRequested
  }

  private updateRankings (doc: ConfigDoc): void {
    if (this.rankedDoc === doc) return
    this.rankedDoc = doc
    // A host of another region is in no ranking, so the cost of a tick grows with the region and not with all sites.
    this.ownable = doc.endpoints
      .map((spec) => ({ spec, ranking: rankOwners(doc, spec) }))
      .filter(({ ranking }) => ranking.includes(this.host))
    const names = new Set(this.ownable.map(({ spec }) => spec.name))
    for (const row of this.rows) {
      if (!names.has(row.spec.name)) row.ownership = 'none'
    }
  }
}

/** Returns the names of endpoints and zones that an operator drains or the platform lists as leaving. */
function collectLeaving (doc: ConfigDoc, view: View | undefined): Set<string> {
  const drains = doc.drains.filter((drain) => drain.kind !== DrainKind.host).map((drain) => drain.name)
  return new Set([...drains, ...view?.leavingEndpoints ?? []])
}
