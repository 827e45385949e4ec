import type { ColdBudget } from '../budget/ColdBudget.js'
import { hashRendezvous } from '../common/hashRendezvous.js'
import type { EndpointRow } from '../endpoints/EndpointRow.js'
import { endpointLimits } from '../endpoints/endpointLimits.js'
import type { EndpointTable } from '../endpoints/EndpointTable.js'
import { estimateLoad } from '../endpoints/estimateLoad.js'
import type { RoutingTable } from '../routing/RoutingTable.js'
import { AffinityRanking } from './AffinityRanking.js'
import type { LocalShares } from './LocalShares.js'
import { measureUse } from './measureUse.js'
import type { PlaceRequest } from './PlaceRequest.js'
import { placeLimits } from './placeLimits.js'
import { WarmObjects } from './WarmObjects.js'

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

/** One choice, with what holds for all endpoints that are looked at. */
interface Choice {
  readonly request: PlaceRequest
  readonly nowMs: number
  /** Median work in ms of the endpoints; 0 when none is known. */
  readonly typicalMs: number
}

/** Largest value of `hashRendezvous`. */
const hashRange = 2 ** 48

/**
 * Chooses the endpoint of a request. Requests for one object go to the same few endpoints, which answer faster when they
 * have handled it lately. While the service is calm, what is too much for them goes on in the order of the object; under
 * load it does not, since every endpoint would then work for every object and none would be warm.
 */
export class Placer {
  private readonly ranking = new AffinityRanking()
  private readonly warm = new WarmObjects()

  constructor (private readonly options: PlacerOptions) {}

  /** Undefined when no endpoint that may serve the request has room. */
  choose (request: PlaceRequest, nowMs: number): EndpointRow | undefined {
    const usable = this.rank(request).filter((row) => this.mayServe(row, request))
    const healthy = selectHealthy(usable, nowMs)
    const ranked = healthy.length > 0 ? healthy : usable.slice(0, placeLimits.lastResort)
    const choice = { request, nowMs, typicalMs: findTypicalWorkMs(ranked) }
    const isLocal = this.isLocal(request)
    const sharers = request.object === undefined ? ranked : this.listSharers(ranked, isLocal)
    const maySpread = request.object !== undefined && measureUse(ranked, nowMs) < placeLimits.spreadUse
    const candidates = maySpread ? [...new Set([...sharers, ...this.putLocalFirst(ranked, isLocal)])] : sharers
    return this.findCheapest(candidates, choice)
  }

  /** Learns that an endpoint has handled an object. */
  noteAnswer (endpoint: string, object: string | undefined, nowMs: number): void {
    if (object !== undefined) this.warm.note(endpoint, object, nowMs)
  }

  /** True when some endpoint could ever serve the request. */
  hasEndpoint (request: PlaceRequest): boolean {
    return this.options.endpoints.listService(request.service).some((row) => this.mayServe(row, request))
  }

  /** Forgets endpoints that are gone. */
  retain (isKnown: (endpoint: string) => boolean): void {
    this.warm.retain(isKnown)
    this.options.cold.retain(isKnown)
  }

  private rank (request: PlaceRequest): readonly EndpointRow[] {
    const { endpoints, random } = this.options
    const rows = endpoints.listService(request.service)
    if (request.object !== undefined) return this.ranking.rank(request.service, request.object, rows, endpoints.generation)
    const start = Math.floor(random() * rows.length)
    return [...rows.slice(start), ...rows.slice(0, start)]
  }

  /** True for the share of the objects that the own region serves. */
  private isLocal (request: PlaceRequest): boolean {
    const { region, shares, random } = this.options
    const point = request.object === undefined ? random() : hashRendezvous(request.object, region) / hashRange
    return point < shares.get(request.service)
  }

  /** The endpoints that share an object, the preferred ones first: those of the own region if it serves the object. */
  private listSharers (ranked: readonly EndpointRow[], isLocal: boolean): readonly EndpointRow[] {
    const common = ranked.slice(0, placeLimits.sharers)
    const local = ranked.filter((row) => row.region === this.options.region).slice(0, placeLimits.sharers)
    return [...new Set(isLocal ? [...local, ...common] : [...common, ...local])]
  }

  private putLocalFirst (rows: readonly EndpointRow[], isLocal: boolean): readonly EndpointRow[] {
    if (!isLocal) return rows
    const { region } = this.options
    return [...rows.filter((row) => row.region === region), ...rows.filter((row) => row.region !== region)]
  }

  private mayServe (row: EndpointRow, { route, excluded }: PlaceRequest): boolean {
    if (excluded.has(row.record.id) || this.options.evacuated.has(row.record.zone)) return false
    return route.regions.length === 0 || route.regions.includes(row.region)
  }

  /** The endpoint with the least expected delay; of equal ones the first in the order of the object. */
  private findCheapest (rows: readonly EndpointRow[], choice: Choice): EndpointRow | undefined {
    const options: Array<{ readonly row: EndpointRow, readonly delayMs: number }> = []
    for (const [index, row] of rows.entries()) {
      const waitMs = estimateWait(row, choice)
      if (waitMs === undefined) continue
      const newObjectMs = Math.max(1, choice.typicalMs) * placeLimits.newObjectFactor * (1 + index * placeLimits.rankFactor)
      options.push({ row, delayMs: waitMs + (this.isFamiliar(row, choice) ? 0 : newObjectMs) })
    }
    options.sort((a, b) => a.delayMs - b.delayMs)
    return options.find(({ row }) => this.takeCold(row, choice.nowMs))?.row
  }

  private isFamiliar (row: EndpointRow, { request, nowMs }: Choice): boolean {
    return request.object === undefined || this.warm.has(row.record.id, request.object, nowMs)
  }

  private takeCold (row: EndpointRow, nowMs: number): boolean {
    if (row.coldUntilMs <= nowMs) return true
    const perSecond = this.options.routing.findService(row.record.service)?.coldPerSecond ?? 0
    return this.options.cold.take(row.record.id, perSecond, nowMs)
  }
}

/** Expected wait in ms for a slot; undefined when the endpoint should not be asked at all. */
function estimateWait (row: EndpointRow, { request, nowMs, typicalMs }: Choice): number | undefined {
  if (row.shedUntilMs > nowMs) return undefined
  const slots = countUsefulSlots(row, typicalMs)
  const load = estimateLoad(row, nowMs)
  if (load < slots) return 0
  if (row.coldUntilMs > nowMs || load >= slots * placeLimits.maxLoadPerSlot) return undefined
  const workMs = Math.max(row.workMs, typicalMs)
  const waitMs = (load + 1 - slots) / slots * workMs
  if (load < slots * placeLimits.shortQueue && waitMs + workMs < request.leftMs) return waitMs
  const { objectiveMs } = request.route
  const mayWaitMs = Math.min(Math.max(objectiveMs * placeLimits.minWaitShare, objectiveMs - workMs), request.leftMs - workMs)
  return waitMs > mayWaitMs ? undefined : waitMs
}

/** Leaves out suspect and ejected endpoints, the latter only up to a share of all. */
function selectHealthy (rows: readonly EndpointRow[], nowMs: number): EndpointRow[] {
  const alive = rows.filter((row) => !row.isSuspect)
  const calm = alive.filter((row) => row.ejectedUntilMs <= nowMs)
  return calm.length >= alive.length * (1 - endpointLimits.maxEjectedShare) ? calm : alive
}

/** Median of the endpoints' work in ms; 0 when none is known. */
function findTypicalWorkMs (rows: readonly EndpointRow[]): number {
  const known = rows.map((row) => row.workMs).filter((ms) => ms > 0).sort((a, b) => a - b)
  return known[Math.floor(known.length / 2)] ?? 0
}

/** Slots of an endpoint, fewer when it is much slower than the others. */
function countUsefulSlots (row: EndpointRow, typicalMs: number): number {
  const isSlow = typicalMs > 0 && row.workMs > typicalMs * placeLimits.slowFactor
  return isSlow ? Math.max(1, row.record.slots * typicalMs / row.workMs) : row.record.slots
}
