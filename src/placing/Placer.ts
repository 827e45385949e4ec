import type { ColdBudget } from '../budget/ColdBudget.js'
import { hashRendezvous } from '../common/hashRendezvous.js'
import type { EndpointRow } from '../endpoints/EndpointRow.js'
import { endpointLimits } from '../endpoints/endpointLimits.js'
import type { EndpointTable } from '../endpoints/EndpointTable.js'
import { estimateLoad } from '../endpoints/estimateLoad.js'
import type { RoutingTable } from '../routing/RoutingTable.js'
import { AffinityRanking } from './AffinityRanking.js'
import type { LocalShares } from './LocalShares.js'
import type { PlaceRequest } from './PlaceRequest.js'
import { placeLimits } from './placeLimits.js'

/** What placing looks at. */
interface PlacerOptions {
  readonly region: string
  readonly endpoints: EndpointTable
  readonly routing: RoutingTable
  readonly cold: ColdBudget
  readonly shares: LocalShares
  /** Zones that get no requests. */
  readonly evacuated: ReadonlySet<string>
  readonly random: () => number
}

/** Largest value of `hashRendezvous`. */
const hashRange = 2 ** 48

/**
 * Chooses the endpoint of a request. Requests for one object go to the same few endpoints, which answer faster when they
 * have handled it lately; the load bound sends what is too much to the next ones in the order of the object. A share of
 * the objects is served by endpoints of the own region, the rest by those of all regions, in the same order everywhere.
 */
export class Placer {
  private readonly ranking = new AffinityRanking()

  constructor (private readonly options: PlacerOptions) {}

  /** Undefined when no endpoint that may serve the request has room. */
  choose (request: PlaceRequest, nowMs: number): EndpointRow | undefined {
    const usable = this.rank(request).filter((row) => this.mayServe(row, request))
    const healthy = selectHealthy(usable, nowMs)
    const candidates = this.prefer(request, healthy.length > 0 ? healthy : usable.slice(0, placeLimits.lastResort))
    const typicalMs = findTypicalServiceMs(candidates)
    const sharers = request.object === undefined ? [] : candidates.slice(0, placeLimits.sharers)
    return this.findBelow(sharers, 1, typicalMs, nowMs) ??
      this.findBelow(sharers, placeLimits.sharerLoadPerSlot, typicalMs, nowMs) ??
      this.findBelow(candidates, 1, typicalMs, nowMs) ??
      findShortestQueue(candidates, typicalMs, nowMs)
  }

  /** True when some endpoint could ever serve the request. */
  hasEndpoint (request: PlaceRequest): boolean {
    return this.options.endpoints.listService(request.service).some((row) => this.mayServe(row, request))
  }

  /** Forgets endpoints that are gone. */
  retain (isKnown: (endpoint: string) => boolean): void {
    this.options.cold.retain(isKnown)
  }

  private rank (request: PlaceRequest): readonly EndpointRow[] {
    const { endpoints, random } = this.options
    const rows = endpoints.listService(request.service)
    if (request.object !== undefined) return this.ranking.rank(request.service, request.object, rows, endpoints.generation)
    const start = Math.floor(random() * rows.length)
    return [...rows.slice(start), ...rows.slice(0, start)]
  }

  /** Puts the endpoints of the own region first for the share of objects that stay in the region. */
  private prefer (request: PlaceRequest, rows: readonly EndpointRow[]): readonly EndpointRow[] {
    const { region, shares, random } = this.options
    const point = request.object === undefined ? random() : hashRendezvous(request.object, region) / hashRange
    if (point >= shares.get(request.service)) return rows
    return [...rows.filter((row) => row.region === region), ...rows.filter((row) => row.region !== region)]
  }

  private mayServe (row: EndpointRow, { route, excluded }: PlaceRequest): boolean {
    if (excluded.has(row.record.id) || this.options.evacuated.has(row.record.zone)) return false
    return route.regions.length === 0 || route.regions.includes(row.region)
  }

  private findBelow (rows: readonly EndpointRow[], perSlot: number, typicalMs: number, nowMs: number): EndpointRow | undefined {
    return rows.find((row) => row.shedUntilMs <= nowMs &&
      estimateLoad(row, nowMs) < countUsefulSlots(row, typicalMs) * perSlot &&
      this.takeCold(row, nowMs))
  }

  private takeCold (row: EndpointRow, nowMs: number): boolean {
    if (row.coldUntilMs <= nowMs) return true
    const perSecond = this.options.routing.findService(row.record.service)?.coldPerSecond ?? 0
    return this.options.cold.take(row.record.id, perSecond, nowMs)
  }
}

/** The endpoint with the shortest queue for its size, if that is short enough. */
function findShortestQueue (rows: readonly EndpointRow[], typicalMs: number, nowMs: number): EndpointRow | undefined {
  let best: EndpointRow | undefined
  let bestLoad: number = placeLimits.maxLoadPerSlot
  for (const row of rows) {
    if (row.shedUntilMs > nowMs || row.coldUntilMs > nowMs) continue
    const load = estimateLoad(row, nowMs) / countUsefulSlots(row, typicalMs)
    if (load < bestLoad) {
      best = row
      bestLoad = load
    }
  }
  return best
}

/** Leaves out suspect and ejected endpoints, the latter only up to a share of all. */
function selectHealthy (rows: readonly EndpointRow[], nowMs: number): EndpointRow[] {
  const alive = rows.filter((row) => !row.isSuspect)
  const calm = alive.filter((row) => row.ejectedUntilMs <= nowMs)
  return calm.length >= alive.length * (1 - endpointLimits.maxEjectedShare) ? calm : alive
}

/** Median of the endpoints' service times in ms; 0 when none is known. */
function findTypicalServiceMs (rows: readonly EndpointRow[]): number {
  const known = rows.map((row) => row.serviceMs).filter((ms) => ms > 0).sort((a, b) => a - b)
  return known[Math.floor(known.length / 2)] ?? 0
}

/** Slots of an endpoint, fewer when it is much slower than the others. */
function countUsefulSlots (row: EndpointRow, typicalMs: number): number {
  const isSlow = typicalMs > 0 && row.serviceMs > typicalMs * placeLimits.slowFactor
  return isSlow ? Math.max(1, row.record.slots * typicalMs / row.serviceMs) : row.record.slots
}
