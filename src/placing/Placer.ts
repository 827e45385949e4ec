import type { ColdBudget } from '../budget/ColdBudget.js'
import { hashRendezvous } from '../common/hashRendezvous.js'
import type { EndpointRow } from '../endpoints/EndpointRow.js'
import { endpointLimits } from '../endpoints/endpointLimits.js'
import type { EndpointTable } from '../endpoints/EndpointTable.js'
import { estimateLoad } from '../endpoints/estimateLoad.js'
import type { RoutingTable } from '../routing/RoutingTable.js'
import { AffinityRanking } from './AffinityRanking.js'
import type { LocalShares } from './LocalShares.js'
import { computeUtilization } from './computeUtilization.js'
import type { PlaceRequest } from './PlaceRequest.js'
import { placementLimits } from './placementLimits.js'
import { RecentObjects } from './RecentObjects.js'

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
  readonly medianServiceTimeMs: number
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
  private readonly recentObjects = new RecentObjects()

  constructor (private readonly options: PlacerOptions) {}

  /** Undefined when no endpoint that may serve the request has room. */
  choose (request: PlaceRequest, nowMs: number): EndpointRow | undefined {
    const eligible = this.rankEndpoints(request).filter((row) => this.isEligible(row, request))
    const healthy = selectHealthy(eligible, nowMs)
    const ranked = healthy.length > 0 ? healthy : eligible.slice(0, placementLimits.fallbackEndpoints)
    const choice = { request, nowMs, medianServiceTimeMs: computeMedianServiceTimeMs(ranked) }
    const isServedLocally = this.isServedLocally(request)
    const affinityEndpoints = request.object === undefined ? ranked : this.listAffinityEndpoints(ranked, isServedLocally)
    const maySpread = request.object !== undefined && computeUtilization(ranked, nowMs) < placementLimits.maxSpreadUtilization
    const candidates = maySpread ? [...new Set([...affinityEndpoints, ...this.putLocalFirst(ranked, isServedLocally)])] : affinityEndpoints
    return this.selectLowestDelay(candidates, choice)
  }

  /** Learns that an endpoint has handled an object. */
  noteAnswer (endpoint: string, object: string | undefined, nowMs: number): void {
    if (object !== undefined) this.recentObjects.record(endpoint, object, nowMs)
  }

  /** True when some endpoint could ever serve the request. */
  hasEndpoint (request: PlaceRequest): boolean {
    return this.options.endpoints.listService(request.service).some((row) => this.isEligible(row, request))
  }

  /** Forgets endpoints that are gone. */
  retain (isRegistered: (endpoint: string) => boolean): void {
    this.recentObjects.retain(isRegistered)
    this.options.cold.retain(isRegistered)
  }

  private rankEndpoints (request: PlaceRequest): readonly EndpointRow[] {
    const { endpoints, random } = this.options
    const rows = endpoints.listService(request.service)
    if (request.object !== undefined) return this.ranking.rank(request.service, request.object, rows, endpoints.generation)
    const start = Math.floor(random() * rows.length)
    return [...rows.slice(start), ...rows.slice(0, start)]
  }

  /** True for the share of the objects that the own region serves. */
  private isServedLocally (request: PlaceRequest): boolean {
    const { region, shares, random } = this.options
    const position = request.object === undefined ? random() : hashRendezvous(request.object, region) / hashRange
    return position < shares.get(request.service)
  }

  /** The endpoints that share an object, the preferred ones first: those of the own region if it serves the object. */
  private listAffinityEndpoints (ranked: readonly EndpointRow[], isServedLocally: boolean): readonly EndpointRow[] {
    const preferred = ranked.slice(0, placementLimits.affinityEndpoints)
    const local = ranked.filter((row) => row.region === this.options.region).slice(0, placementLimits.affinityEndpoints)
    return [...new Set(isServedLocally ? [...local, ...preferred] : [...preferred, ...local])]
  }

  private putLocalFirst (rows: readonly EndpointRow[], isServedLocally: boolean): readonly EndpointRow[] {
    if (!isServedLocally) return rows
    const { region } = this.options
    return [...rows.filter((row) => row.region === region), ...rows.filter((row) => row.region !== region)]
  }

  private isEligible (row: EndpointRow, { route, excluded }: PlaceRequest): boolean {
    if (excluded.has(row.record.id) || this.options.evacuated.has(row.record.zone)) return false
    return route.regions.length === 0 || route.regions.includes(row.region)
  }

  /** The endpoint with the least expected delay; of equal ones the first in the order of the object. */
  private selectLowestDelay (rows: readonly EndpointRow[], choice: Choice): EndpointRow | undefined {
    const candidates: Array<{ readonly row: EndpointRow, readonly delayMs: number }> = []
    for (const [index, row] of rows.entries()) {
      const waitMs = estimateWait(row, choice)
      if (waitMs === undefined) continue
      const newObjectDelayMs = Math.max(1, choice.medianServiceTimeMs) * placementLimits.newObjectFactor * (1 + index * placementLimits.rankFactor)
      candidates.push({ row, delayMs: waitMs + (this.hasRecentlyHandled(row, choice) ? 0 : newObjectDelayMs) })
    }
    candidates.sort((a, b) => a.delayMs - b.delayMs)
    return candidates.find(({ row }) => this.acquirePermit(row, choice.nowMs))?.row
  }

  private hasRecentlyHandled (row: EndpointRow, { request, nowMs }: Choice): boolean {
    return request.object === undefined || this.recentObjects.has(row.record.id, request.object, nowMs)
  }

  private acquirePermit (row: EndpointRow, nowMs: number): boolean {
    if (row.coldUntilMs <= nowMs) return true
    const perSecond = this.options.routing.findService(row.record.service)?.coldPerSecond ?? 0
    return this.options.cold.take(row.record.id, perSecond, nowMs)
  }
}

/** Expected wait in ms for a slot; undefined when the endpoint should not be asked at all. */
function estimateWait (row: EndpointRow, { request, nowMs, medianServiceTimeMs }: Choice): number | undefined {
  if (row.shedBackoffUntilMs > nowMs) return undefined
  const slots = countEffectiveSlots(row, medianServiceTimeMs)
  const load = estimateLoad(row, nowMs)
  if (load < slots) return 0
  if (row.coldUntilMs > nowMs || load >= slots * placementLimits.maxLoadPerSlot) return undefined
  const serviceTimeMs = Math.max(row.serviceTimeMs, medianServiceTimeMs)
  const waitMs = (load + 1 - slots) / slots * serviceTimeMs
  if (load < slots * placementLimits.shortQueueLoadPerSlot && waitMs + serviceTimeMs < request.leftMs) return waitMs
  const { objectiveMs } = request.route
  const maxWaitMs = Math.min(Math.max(objectiveMs * placementLimits.minWaitShare, objectiveMs - serviceTimeMs), request.leftMs - serviceTimeMs)
  return waitMs > maxWaitMs ? undefined : waitMs
}

/** Leaves out suspect and ejected endpoints, the latter only up to a share of all. */
function selectHealthy (rows: readonly EndpointRow[], nowMs: number): EndpointRow[] {
  const alive = rows.filter((row) => !row.isSuspect)
  const notEjected = alive.filter((row) => row.ejectedUntilMs <= nowMs)
  return notEjected.length >= alive.length * (1 - endpointLimits.maxEjectedShare) ? notEjected : alive
}

/** Median of the endpoints' work in ms; 0 when none is known. */
function computeMedianServiceTimeMs (rows: readonly EndpointRow[]): number {
  const measured = rows.map((row) => row.serviceTimeMs).filter((ms) => ms > 0).sort((a, b) => a - b)
  return measured[Math.floor(measured.length / 2)] ?? 0
}

/** Slots of an endpoint, fewer when it is much slower than the others. */
function countEffectiveSlots (row: EndpointRow, medianServiceTimeMs: number): number {
  const isSlow = medianServiceTimeMs > 0 && row.serviceTimeMs > medianServiceTimeMs * placementLimits.slowFactor
  return isSlow ? Math.max(1, row.record.slots * medianServiceTimeMs / row.serviceTimeMs) : row.record.slots
}
