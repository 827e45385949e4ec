import type { ColdStartRateLimiter } from '../budget/ColdStartRateLimiter.js'
import { hashRendezvous } from '../common/hashRendezvous.js'
import type { EndpointRow } from '../endpoints/EndpointRow.js'
import { endpointLimits } from '../endpoints/endpointLimits.js'
import type { EndpointTable } from '../endpoints/EndpointTable.js'
import { estimateLoad } from '../endpoints/estimateLoad.js'
import type { RoutingTable } from '../routing/RoutingTable.js'
import { AffinityRanking } from './AffinityRanking.js'
import type { LocalShares } from './LocalShares.js'
import { computeUtilization } from './computeUtilization.js'
import type { SelectionRequest } from './SelectionRequest.js'
import { placementLimits } from './placementLimits.js'
import { RecentObjects } from './RecentObjects.js'

/** Dependencies of the selection. */
interface EndpointSelectorOptions {
  readonly region: string
  readonly endpoints: EndpointTable
  readonly routing: RoutingTable
  readonly coldStartLimiter: ColdStartRateLimiter
  readonly shares: LocalShares
  /** Zones that receive no requests. */
  readonly evacuated: ReadonlySet<string>
  readonly random: () => number
}

/** Input of one selection that is common to all candidates. */
interface Choice {
  readonly request: SelectionRequest
  readonly nowMs: number
  /** Median service time in ms of the endpoints; 0 when none has been measured. */
  readonly medianServiceTimeMs: number
}

/** Exclusive upper bound of `hashRendezvous`. */
const hashRange = 2 ** 48

/**
 * Selects an endpoint for each request. Requests for an object go to the same few endpoints, its affinity endpoints, since
 * an endpoint responds faster for an object that it has handled recently. At low utilization, requests that exceed their
 * capacity spill over to the next endpoints in the object's ranking. Under load they don't: every endpoint would then handle
 * every object, and none would have handled its objects recently.
 */
export class EndpointSelector {
  private readonly ranking = new AffinityRanking()
  private readonly recentObjects = new RecentObjects()

  constructor (private readonly options: EndpointSelectorOptions) {}

  /** Returns the selected endpoint; undefined when no eligible endpoint has capacity. */
  choose (request: SelectionRequest, nowMs: number): EndpointRow | undefined {
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

  /** Records that an endpoint has handled a request for an object. */
  recordSuccess (endpoint: string, object: string | undefined, nowMs: number): void {
    if (object !== undefined) this.recentObjects.record(endpoint, object, nowMs)
  }

  /** Returns true when an endpoint is eligible for the request, whatever its health and load. */
  hasEligibleEndpoint (request: SelectionRequest): boolean {
    return this.options.endpoints.listService(request.service).some((row) => this.isEligible(row, request))
  }

  /** Drops the state of endpoints that are no longer registered. */
  retain (isRegistered: (endpoint: string) => boolean): void {
    this.recentObjects.retain(isRegistered)
    this.options.coldStartLimiter.retain(isRegistered)
  }

  private rankEndpoints (request: SelectionRequest): readonly EndpointRow[] {
    const { endpoints, random } = this.options
    const rows = endpoints.listService(request.service)
    if (request.object !== undefined) return this.ranking.rank(request.service, request.object, rows, endpoints.generation)
    const start = Math.floor(random() * rows.length)
    return [...rows.slice(start), ...rows.slice(0, start)]
  }

  /** Returns true for the share of objects (or of requests without an object) that the local region serves. */
  private isServedLocally (request: SelectionRequest): boolean {
    const { region, shares, random } = this.options
    const position = request.object === undefined ? random() : hashRendezvous(request.object, region) / hashRange
    return position < shares.get(request.service)
  }

  /** Returns the affinity endpoints of an object; local ones come first when the local region serves the object. */
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

  private isEligible (row: EndpointRow, { route, excluded }: SelectionRequest): boolean {
    if (excluded.has(row.record.id) || this.options.evacuated.has(row.record.zone)) return false
    return route.regions.length === 0 || route.regions.includes(row.region)
  }

  /** Selects the endpoint with the lowest expected delay; among equals, the first in the object's ranking. */
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

  /** Takes a permit to send a request to a cold endpoint; returns true without one when the endpoint isn't cold. */
  private acquirePermit (row: EndpointRow, nowMs: number): boolean {
    if (row.coldUntilMs <= nowMs) return true
    const perSecond = this.options.routing.findService(row.record.service)?.coldPerSecond ?? 0
    return this.options.coldStartLimiter.take(row.record.id, perSecond, nowMs)
  }
}

/** Estimates the wait in ms for a slot; undefined when the endpoint must not receive the request. */
function estimateWait (row: EndpointRow, { request, nowMs, medianServiceTimeMs }: Choice): number | undefined {
  if (row.shedBackoffUntilMs > nowMs) return undefined
  const slots = countEffectiveSlots(row, medianServiceTimeMs)
  const load = estimateLoad(row, nowMs)
  if (load < slots) return 0
  if (row.coldUntilMs > nowMs || load >= slots * placementLimits.maxLoadPerSlot) return undefined
  const serviceTimeMs = Math.max(row.serviceTimeMs, medianServiceTimeMs)
  const waitMs = (load + 1 - slots) / slots * serviceTimeMs
  if (load < slots * placementLimits.shortQueueLoadPerSlot && waitMs + serviceTimeMs < request.remainingMs) return waitMs
  const { objectiveMs } = request.route
  const maxWaitMs = Math.min(Math.max(objectiveMs * placementLimits.minWaitShare, objectiveMs - serviceTimeMs), request.remainingMs - serviceTimeMs)
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
