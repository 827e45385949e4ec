import { Table } from '../common/Table.js'
import type { ConfigDoc } from '../model/ConfigDoc.js'
import { DrainKind } from '../model/DrainKind.js'
import type { EndpointSpec } from '../model/EndpointSpec.js'
import type { Member } from '../model/Member.js'
import type { ServiceLoad } from '../model/ServiceLoad.js'
import type { View } from '../model/View.js'
import { countFreeSlots } from './countFreeSlots.js'
import { countUsableSlots } from './countUsableSlots.js'
import { createEndpointRow } from './createEndpointRow.js'
import { decideOwnership } from './decideOwnership.js'
import type { EndpointRow } from './EndpointRow.js'
import { listOwnerOrder } from './listOwnerOrder.js'
import { steerLimits } from './steerLimits.js'

/** What is needed to tell which endpoints this host owns. */
interface OwnershipUpdate {
  readonly doc: ConfigDoc
  readonly view: View | undefined
  readonly isViewFresh: boolean
  readonly isLeaving: boolean
}

/** An endpoint and the hosts that may own it, the primary first. */
interface OwnableEndpoint {
  readonly spec: EndpointSpec
  readonly order: readonly string[]
}

/** The endpoints that this host owns, or still has requests in flight at. */
export class EndpointTable {
  private readonly rows = new Table<EndpointRow>()
  /** Endpoints that this host may own, with the hosts that may own them. */
  private ownable: OwnableEndpoint[] = []
  private ordersOf: ConfigDoc | undefined

  constructor (private readonly host: string) {}

  get (endpoint: string): EndpointRow | undefined {
    return this.rows.get(endpoint)
  }

  [Symbol.iterator] (): IterableIterator<EndpointRow> {
    return this.rows[Symbol.iterator]()
  }

  /** Brings ownership and drains up to date. */
  update (input: OwnershipUpdate): void {
    this.updateOrders(input.doc)
    const members = new Map<string, Member>(input.view?.members.map((member) => [member.host, member]))
    const regionOf = new Map(input.doc.zones.map((zone) => [zone.name, zone.region]))
    const leaving = collectLeaving(input.doc, input.view)
    for (const { spec, order } of this.ownable) {
      const ownership = decideOwnership({ ...input, host: this.host, order, members })
      this.updateRow(spec, regionOf.get(spec.zone) ?? '', ownership, leaving.has(spec.name) || leaving.has(spec.zone))
    }
    this.rows.deleteWhere((row) => row.ownership === 'none' && row.inFlight === 0)
  }

  /** The owned endpoint of a service with most free slots, relative to its size. */
  findFree (service: string, excluded: ReadonlySet<string>, nowMs: number): EndpointRow | undefined {
    let best: EndpointRow | undefined
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

  /** Endpoints that are due for a probe. */
  listProbes (nowMs: number): EndpointRow[] {
    const due: EndpointRow[] = []
    for (const row of this.rows) {
      if (row.ownership === 'none' || nowMs < row.nextProbeAtMs) continue
      const isFast = row.blocked || row.ownership === 'adopter' || row.report === undefined
      row.nextProbeAtMs = nowMs + (isFast ? steerLimits.fastProbeIntervalMs : steerLimits.probeIntervalMs)
      due.push(row)
    }
    return due
  }

  /** True when this host owns an endpoint of the service. */
  ownsService (service: string): boolean {
    return [...this.rows].some((row) => row.spec.service === service && row.ownership !== 'none')
  }

  /** Load of one service over the owned endpoints, without the queue. */
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

  /** Load of each service of which this host owns endpoints, without queues. */
  listLoads (nowMs: number): ServiceLoad[] {
    const owned = [...this.rows].filter((row) => row.ownership !== 'none')
    const services = new Set(owned.map((row) => row.spec.service))
    return [...services].map((service) => this.loadOf(service, nowMs))
  }

  private updateRow (spec: EndpointSpec, region: string, ownership: EndpointRow['ownership'], drained: boolean): void {
    const existing = this.rows.get(spec.name)
    if (existing === undefined && ownership === 'none') return
    const row = existing ?? this.rows.set(spec.name, createEndpointRow(spec, region))
    // What was known before does not hold for another address, or after a time without probes.
    const isNew = row.spec.address !== spec.address || (row.ownership === 'none' && ownership !== 'none')
    if (isNew) Object.assign(row, { report: undefined, lastForeign: Infinity })
    row.spec = spec
    row.region = region
    row.ownership = ownership
    row.drained = drained
  }

  private updateOrders (doc: ConfigDoc): void {
    if (this.ordersOf === doc) return
    this.ordersOf = doc
    // A host of another region is in no order, so the work per tick grows with the region and not with all sites.
    this.ownable = doc.endpoints
      .map((spec) => ({ spec, order: listOwnerOrder(doc, spec) }))
      .filter(({ order }) => order.includes(this.host))
    const names = new Set(this.ownable.map(({ spec }) => spec.name))
    for (const row of this.rows) {
      if (!names.has(row.spec.name)) row.ownership = 'none'
    }
  }
}

/** Names of endpoints and zones that an operator drains or the platform calls leaving. */
function collectLeaving (doc: ConfigDoc, view: View | undefined): Set<string> {
  const drains = doc.drains.filter((drain) => drain.kind !== DrainKind.host).map((drain) => drain.name)
  return new Set([...drains, ...view?.leavingEndpoints ?? []])
}
