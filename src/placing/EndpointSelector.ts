import type { SharedRateLimiter } from '../budget/SharedRateLimiter.js'
import { hashRendezvous } from '../common/hashRendezvous.js'
import type { EndpointRow } from '../endpoints/EndpointRow.js'
import { endpointLimits } from '../endpoints/endpointLimits.js'
import type { EndpointTable } from '../endpoints/EndpointTable.js'
import { estimateLoad } from '../endpoints/estimateLoad.js'
import type { RoutingTable } from '../routing/RoutingTable.js'
import { AffinityRanking } from './AffinityRanking.js'
import { computeUtilization } from './computeUtilization.js'
import { createObjectKey } from './createObjectKey.js'
import type { LocalShares } from './LocalShares.js'
import type { ObjectRequest } from './ObjectRequest.js'
import { placementLimits } from './placementLimits.js'
import { RecentObjects } from './RecentObjects.js'
import type { SelectionRequest } from './SelectionRequest.js'
import { ServiceTimes } from './ServiceTimes.js'

/** Dependencies of the selection. */
interface EndpointSelectorOptions {
  readonly region: string
  readonly endpoints: EndpointTable
  readonly routing: RoutingTable
  /** Limits the requests to cold endpoints. */
  readonly coldStartLimiter: SharedRateLimiter
  /** Limits the requests to endpoints that name a rate limit. */
  readonly namedRateLimiter: SharedRateLimiter
  readonly shares: LocalShares
  /** Returns the round trip time in ms from this host to a region. */
  readonly getRoundTripMs: (region: string) => number
  /** Zones that receive no requests. */
  readonly evacuated: ReadonlySet<string>
  readonly random: () => number
}

/** Input of one selection that is common to all candidates. */
interface Choice {
  readonly request: SelectionRequest
  readonly objectKey: string | undefined
  readonly nowMs: number
  /** Median service time in ms of the endpoints; 0 when none has been measured. */
  readonly medianServiceTimeMs: number
}

/** Exclusive upper bound of `hashRendezvous`. */
const hashRange = 2 ** 48

/**
 * Selects an endpoint for each request. Requests for an object go to the same few endpoints, its affinity endpoints, since
 * an endpoint responds faster for an object that it has handled recently, and remembers only so many. Others are tried only
 * when none of these can take the request and many slots are free: otherwise every endpoint would handle every object, and
 * none would have handled its objects recently.
 */
export class EndpointSelector {
  private readonly ranking = new AffinityRanking()
  private readonly recentObjects = new RecentObjects()
  private readonly serviceTimes = new ServiceTimes()

  constructor (private readonly options: EndpointSelectorOptions) {}

  /** Returns the selected endpoint; undefined when no eligible endpoint has capacity. */
  choose (request: SelectionRequest, nowMs: number): EndpointRow | undefined {
    const eligible = this.rankEndpoints(request).filter((row) => this.isEligible(row, request) && row.announced.backoffUntilMs <= nowMs)
    const healthy = selectHealthy(eligible, nowMs)
    const ranked = healthy.length > 0 ? healthy : eligible.slice(0, placementLimits.fallbackEndpoints)
    const objectKey = createObjectKey(request)
    const choice = { request, objectKey, nowMs, medianServiceTimeMs: computeMedianServiceTimeMs(ranked) }
    if (objectKey === undefined) return this.selectLowestDelay(ranked, choice)
    const preferred = this.selectLowestDelay(this.listAffinityEndpoints(ranked, this.isServedLocally(request)), choice)
    const maySpread = preferred === undefined && computeUtilization(ranked, nowMs) < placementLimits.maxSpreadUtilization
    return maySpread ? this.selectLowestDelay(ranked, choice) : preferred
  }

  /** Records that an endpoint handles a request; it knows the object from the start. */
  recordVisit (row: EndpointRow, request: ObjectRequest, nowMs: number): void {
    const key = createObjectKey(request)
    if (key !== undefined) this.recentObjects.record(row.record.id, key, nowMs)
  }

  /** Records that an endpoint did not handle a request after all. */
  forgetVisit (row: EndpointRow, request: ObjectRequest): void {
    const key = createObjectKey(request)
    if (key !== undefined) this.recentObjects.forget(row.record.id, key)
  }

  /** Returns true when an endpoint has recently handled the object of a request, or the request names none. */
  hasRecentlyHandled (row: EndpointRow, request: ObjectRequest, nowMs: number): boolean {
    const key = createObjectKey(request)
    return key === undefined || this.recentObjects.has(row.record.id, key, nowMs)
  }

  /** Records the duration of a request that did not wait for a slot. */
  recordDuration (row: EndpointRow, request: ObjectRequest, isKnown: boolean, elapsedMs: number): void {
    this.serviceTimes.record(request.route, isKnown, Math.max(0, elapsedMs - this.options.getRoundTripMs(row.region)))
  }

  /** Returns true when an endpoint is eligible for the request, whatever its health and load. */
  hasEligibleEndpoint (request: SelectionRequest): boolean {
    return this.options.endpoints.listService(request.service).some((row) => this.isEligible(row, request))
  }

  /** Returns the time in ms until one of the endpoints takes requests again, also of those tried; 0 when one does now, or there is none. */
  getBackoffMs (request: SelectionRequest, nowMs: number): number {
    const first = { ...request, excluded: new Set<string>() }
    const eligible = this.options.endpoints.listService(request.service).filter((row) => this.isEligible(row, first))
    return eligible.length === 0 ? 0 : Math.max(0, Math.min(...eligible.map((row) => row.announced.backoffUntilMs)) - nowMs)
  }

  /** Drops the state of endpoints that are no longer registered. */
  retain (isRegistered: (endpoint: string) => boolean): void {
    this.recentObjects.retain(isRegistered)
    this.options.coldStartLimiter.retain(isRegistered)
    this.options.namedRateLimiter.retain(isRegistered)
  }

  private rankEndpoints (request: SelectionRequest): readonly EndpointRow[] {
    const { endpoints, random } = this.options
    const rows = endpoints.listService(request.service)
    if (request.object !== undefined) return this.ranking.rank(request.service, request.object, rows, endpoints.generation)
    const start = Math.floor(random() * rows.length)
    return [...rows.slice(start), ...rows.slice(0, start)]
  }

  /** Returns true for the share of objects that the local region serves. */
  private isServedLocally ({ service, object }: SelectionRequest): boolean {
    const { region, shares } = this.options
    return hashRendezvous(object!, region) / hashRange < shares.get(service)
  }

  /** Returns the affinity endpoints of an object; local ones come first when the local region serves the object. */
  private listAffinityEndpoints (ranked: readonly EndpointRow[], isServedLocally: boolean): readonly EndpointRow[] {
    const preferred = ranked.slice(0, placementLimits.affinityEndpoints)
    const local = ranked.filter((row) => row.region === this.options.region).slice(0, placementLimits.affinityEndpoints)
    return [...new Set(isServedLocally ? [...local, ...preferred] : [...preferred, ...local])]
  }

  private isEligible (row: EndpointRow, { route, excluded }: SelectionRequest): boolean {
    if (excluded.has(row.record.id) || this.options.evacuated.has(row.record.zone)) return false
    return route.regions.length === 0 || route.regions.includes(row.region)
  }

  /** Selects the endpoint with the lowest expected delay; among equals, the first in the object's ranking. */
  private selectLowestDelay (rows: readonly EndpointRow[], choice: Choice): EndpointRow | undefined {
    const candidates: Array<{ readonly row: EndpointRow, readonly delayMs: number }> = []
    for (const [rank, row] of rows.entries()) {
      const delayMs = this.estimateDelay(row, rank, choice)
      if (delayMs !== undefined) candidates.push({ row, delayMs })
    }
    candidates.sort((a, b) => a.delayMs - b.delayMs)
    return candidates.find(({ row }) => this.acquirePermit(row, choice.nowMs))?.row
  }

  /**
   * Estimates the time in ms until the response, increased by rank for an endpoint that is new to the object. Returns
   * undefined when the endpoint must not receive the request, or when the request would wait and then not be answered within
   * the time that is left. A free slot is always used, since the expected service time is corrected by responses only.
   */
  private estimateDelay (row: EndpointRow, rank: number, choice: Choice): number | undefined {
    const { request, objectKey, nowMs } = choice
    const isKnown = objectKey === undefined || this.recentObjects.has(row.record.id, objectKey, nowMs)
    const serviceMs = this.serviceTimes.expect(request.route, isKnown)
    const workMs = serviceMs + this.options.getRoundTripMs(row.region)
    const waitMs = estimateWait(row, choice, workMs)
    if (waitMs === undefined || (waitMs > 0 && waitMs + workMs > request.remainingMs)) return undefined
    const newObjectMs = isKnown ? 0 : serviceMs - this.serviceTimes.expect(request.route, true)
    return waitMs + workMs + newObjectMs * rank * placementLimits.rankFactor
  }

  /** Takes the permits to send a request to an endpoint that is cold or names a rate limit; returns true without one when neither holds. */
  private acquirePermit (row: EndpointRow, nowMs: number): boolean {
    const rates = this.listRates(row, nowMs)
    if (!rates.every(([limiter, perSecond]) => limiter.mayTake(row.record.id, perSecond, nowMs))) return false
    for (const [limiter] of rates) limiter.spend(row.record.id)
    return true
  }

  /** Lists the rates in requests a second that bind an endpoint now, with the limiters that divide them among the hosts. */
  private listRates (row: EndpointRow, nowMs: number): Array<readonly [SharedRateLimiter, number]> {
    const { routing, coldStartLimiter, namedRateLimiter } = this.options
    const rates: Array<readonly [SharedRateLimiter, number]> = []
    if (row.coldUntilMs > nowMs) rates.push([coldStartLimiter, routing.findService(row.record.service)?.coldPerSecond ?? 0])
    const limit = row.announced.rateLimit?.perSecond
    if (limit !== undefined) rates.push([namedRateLimiter, limit])
    return rates
  }
}

/**
 * Estimates the wait in ms for a slot; undefined when the endpoint must not receive the request. `workMs` is the time that
 * the request takes once it has a slot.
 */
function estimateWait (row: EndpointRow, { request, nowMs, medianServiceTimeMs }: Choice, workMs: number): number | undefined {
  if (row.shedBackoffUntilMs > nowMs) return undefined
  const slots = countEffectiveSlots(row, medianServiceTimeMs)
  const load = estimateLoad(row, nowMs)
  if (load < slots) return 0
  if (row.coldUntilMs > nowMs || load >= slots * placementLimits.maxLoadPerSlot) return undefined
  const serviceTimeMs = Math.max(row.serviceTimeMs, medianServiceTimeMs)
  const waitMs = (load + 1 - slots) / slots * serviceTimeMs
  if (load < slots * placementLimits.shortQueueLoadPerSlot) return waitMs
  const { objectiveMs } = request.route
  const maxWaitMs = Math.max(objectiveMs * placementLimits.minWaitShare, objectiveMs - workMs)
  return waitMs > maxWaitMs ? undefined : waitMs
}

/** Omits suspect and ejected endpoints; when too large a share is ejected, only the suspect ones are omitted. */
function selectHealthy (rows: readonly EndpointRow[], nowMs: number): EndpointRow[] {
  const alive = rows.filter((row) => !row.isSuspect)
  const notEjected = alive.filter((row) => row.ejectedUntilMs <= nowMs)
  return notEjected.length >= alive.length * (1 - endpointLimits.maxEjectedShare) ? notEjected : alive
}

/** Returns the median service time in ms of the endpoints; 0 when none has been measured. */
function computeMedianServiceTimeMs (rows: readonly EndpointRow[]): number {
  const measured = rows.map((row) => row.serviceTimeMs).filter((ms) => ms > 0).sort((a, b) => a - b)
  return measured[Math.floor(measured.length / 2)] ?? 0
}

/** Returns the slots of an endpoint, reduced in proportion when it is much slower than the median. */
function countEffectiveSlots (row: EndpointRow, medianServiceTimeMs: number): number {
  const isSlow = medianServiceTimeMs > 0 && row.serviceTimeMs > medianServiceTimeMs * placementLimits.slowFactor
  return isSlow ? Math.max(1, row.record.slots * medianServiceTimeMs / row.serviceTimeMs) : row.record.slots
}
