import type { EndpointRow } from '../endpoints/EndpointRow.js'
import { endpointLimits } from '../endpoints/endpointLimits.js'
import type { EndpointTable } from '../endpoints/EndpointTable.js'
import { estimateLoad } from '../endpoints/estimateLoad.js'
import type { ColdBudget } from '../budget/ColdBudget.js'
import type { RoutingTable } from '../routing/RoutingTable.js'
import { AffinityRanking } from './AffinityRanking.js'
import type { PlaceRequest } from './PlaceRequest.js'
import { placeLimits } from './placeLimits.js'

/** What placing looks at. */
interface PlacerOptions {
  readonly endpoints: EndpointTable
  readonly routing: RoutingTable
  readonly cold: ColdBudget
  /** Zones that get no requests. */
  readonly evacuated: ReadonlySet<string>
  readonly random: () => number
}

/**
 * Chooses the endpoint of a request. Requests for one object go to the same few endpoints, which answer faster when
 * they have handled it lately; the load bound sends what is too much to the next ones in the order.
 */
export class Placer {
  private readonly ranking = new AffinityRanking()

  constructor (private readonly options: PlacerOptions) {}

  /** Undefined when no endpoint that may serve the request has room. */
  choose (request: PlaceRequest, nowMs: number): EndpointRow | undefined {
    const ranked = this.rank(request)
    const usable = ranked.filter((row) => this.mayServe(row, request))
    const healthy = this.selectHealthy(usable, nowMs)
    const candidates = healthy.length > 0 ? healthy : usable.slice(0, placeLimits.lastResort)
    return this.chooseFree(candidates, nowMs) ?? this.chooseShortestQueue(candidates, nowMs)
  }

  /** True when some endpoint could ever serve the request. */
  hasEndpoint (request: PlaceRequest): boolean {
    return this.options.endpoints.listService(request.service).some((row) => this.mayServe(row, request))
  }

  private rank (request: PlaceRequest): readonly EndpointRow[] {
    const { endpoints, random } = this.options
    const rows = endpoints.listService(request.service)
    if (request.object !== undefined) return this.ranking.rank(request.service, request.object, rows, endpoints.generation)
    const start = Math.floor(random() * rows.length)
    return [...rows.slice(start), ...rows.slice(0, start)]
  }

  private mayServe (row: EndpointRow, { route, excluded }: PlaceRequest): boolean {
    if (excluded.has(row.record.id) || this.options.evacuated.has(row.record.zone)) return false
    return route.regions.length === 0 || route.regions.includes(row.region)
  }

  /** Leaves out suspect and ejected endpoints, the latter only up to a share of all. */
  private selectHealthy (rows: readonly EndpointRow[], nowMs: number): EndpointRow[] {
    const alive = rows.filter((row) => !row.isSuspect)
    const calm = alive.filter((row) => row.ejectedUntilMs <= nowMs)
    return calm.length >= alive.length * (1 - endpointLimits.maxEjectedShare) ? calm : alive
  }

  private chooseFree (rows: readonly EndpointRow[], nowMs: number): EndpointRow | undefined {
    const typicalMs = findTypicalServiceMs(rows)
    for (const row of rows) {
      if (row.shedUntilMs > nowMs) continue
      if (estimateLoad(row, nowMs) >= countUsefulSlots(row, typicalMs)) continue
      if (this.takeCold(row, nowMs)) return row
    }
    return undefined
  }

  /** The least loaded endpoint whose queue is still short. */
  private chooseShortestQueue (rows: readonly EndpointRow[], nowMs: number): EndpointRow | undefined {
    const typicalMs = findTypicalServiceMs(rows)
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

  private takeCold (row: EndpointRow, nowMs: number): boolean {
    if (row.coldUntilMs <= nowMs) return true
    const perSecond = this.options.routing.findService(row.record.service)?.coldPerSecond ?? 0
    return this.options.cold.take(row.record.id, perSecond, nowMs)
  }
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
