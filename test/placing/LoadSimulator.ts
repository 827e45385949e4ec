import { SeededRandom } from '../../dev/common/SeededRandom.js'
import { ColdStartRateLimiter } from '../../src/budget/ColdStartRateLimiter.js'
import { NamedRateLimiter } from '../../src/budget/NamedRateLimiter.js'
import type { EndpointRow } from '../../src/endpoints/EndpointRow.js'
import { EndpointTable } from '../../src/endpoints/EndpointTable.js'
import { recordAttempt } from '../../src/endpoints/recordAttempt.js'
import { LocalShares } from '../../src/placing/LocalShares.js'
import type { SelectionRequest } from '../../src/placing/SelectionRequest.js'
import { EndpointSelector } from '../../src/placing/EndpointSelector.js'
import { RequestKind } from '../../src/routing/RequestKind.js'
import type { Route } from '../../src/routing/Route.js'
import { RoutingTable } from '../../src/routing/RoutingTable.js'
import { createEndpoint } from '../support/createEndpoint.js'
import { createRoute } from '../support/createRoute.js'
import { createRoutingConfig } from '../support/createRoutingConfig.js'

/** Parameters of a simulated load. */
interface LoadOptions {
  readonly endpoints: number
  readonly slots: number
  /** Number of objects, all requested equally often. */
  readonly objects: number
  /** Kinds of requests, all equally often; idempotent requests only when absent. Each does different work for an object. */
  readonly kinds?: readonly RequestKind[]
  /** Number of most recent objects that an endpoint caches, counted for each kind. */
  readonly cachedObjects: number
  /** Service time in ms for an object that the endpoint hasn't cached, and for one that it has. */
  readonly uncachedServiceTimeMs: number
  readonly cachedServiceTimeMs: number
  readonly perSecond: number
  readonly seconds: number
  readonly objectiveMs: number
  readonly timeoutMs: number
}

/** Results of the requests that arrive in the second half of the simulation. */
interface LoadResult {
  readonly onTimeShare: number
  readonly refusedShare: number
  readonly slowestMs: number
}

/** Selects an endpoint, or undefined to refuse the request. */
type Choose = (request: SelectionRequest, nowMs: number) => EndpointRow | undefined

/** A request that is queued or running at an endpoint. */
interface EndpointRequest {
  readonly row: EndpointRow
  readonly route: Route
  readonly object: string
  readonly arrivedMs: number
  readonly loadAtStart: number
  /** The selector took the endpoint to have handled the object recently. */
  readonly isKnown: boolean
}

/** Simulates an endpoint with a queue and an LRU cache of objects. */
class SimulatedEndpoint {
  readonly queue: EndpointRequest[] = []
  running = 0
  private readonly cache = new Set<string>()

  constructor (private readonly cacheSize: number) {}

  /** Marks an object as the most recently used; returns true when it was cached before. */
  touch (object: string): boolean {
    const isCached = this.cache.delete(object)
    this.cache.add(object)
    if (this.cache.size > this.cacheSize) this.cache.delete(this.cache.values().next().value!)
    return isCached
  }
}

const stepMs = 1

/** Simulates a load on endpoints under a selection policy, in steps of a millisecond and without a network. */
export class LoadSimulator {
  readonly endpoints = new EndpointTable((zone) => zone.split('-')[0]!, () => 2_500)
  readonly selector: EndpointSelector
  private readonly random = new SeededRandom(1)
  private readonly simulated = new Map<string, SimulatedEndpoint>()
  private readonly ends = new Map<number, Array<() => void>>()
  private readonly tally = { sent: 0, onTime: 0, refused: 0, slowestMs: 0 }

  constructor (private readonly options: LoadOptions) {
    const records = Array.from({ length: options.endpoints }, (_value, index) => createEndpoint(`e${index}`, { slots: options.slots }))
    this.endpoints.update(records, { nowMs: 0, mayHaveLapsed: false })
    for (const { id } of records) this.simulated.set(id, new SimulatedEndpoint(options.cachedObjects))
    const routing = new RoutingTable()
    routing.apply(createRoutingConfig())
    this.selector = new EndpointSelector({
      region: 'north',
      endpoints: this.endpoints,
      routing,
      coldStartLimiter: new ColdStartRateLimiter('me', () => ['me']),
      namedRateLimiter: new NamedRateLimiter('me', () => ['me']),
      shares: new LocalShares(),
      getRoundTripMs: () => 0,
      evacuated: new Set(),
      random: () => this.random.next()
    })
  }

  simulate (choose: Choose): LoadResult {
    const endMs = this.options.seconds * 1_000
    let due = 0
    for (let nowMs = 0; nowMs < endMs + this.options.timeoutMs; nowMs += stepMs) {
      for (const end of this.ends.get(nowMs) ?? []) end()
      this.ends.delete(nowMs)
      if (nowMs >= endMs) continue
      for (due += this.options.perSecond * stepMs / 1_000; due >= 1; due--) this.send(choose, nowMs)
    }
    const { sent, onTime, refused, slowestMs } = this.tally
    return { onTimeShare: onTime / sent, refusedShare: refused / sent, slowestMs }
  }

  private send (choose: Choose, nowMs: number): void {
    const { objects, objectiveMs, timeoutMs, kinds = [RequestKind.idempotent] } = this.options
    const object = String(Math.floor(this.random.next() * objects))
    const kind = kinds[kinds.length === 1 ? 0 : this.random.integer(kinds.length)]!
    const route = createRoute({ name: kind, kind, objectiveMs, timeoutMs })
    const row = choose({ route, service: 'stock', object, remainingMs: timeoutMs, excluded: new Set() }, nowMs)
    if (this.isMeasured(nowMs)) this.tally.sent += 1
    if (row === undefined) {
      if (this.isMeasured(nowMs)) this.tally.refused += 1
      return
    }
    row.inFlight += 1
    this.simulated.get(row.record.id)!.queue.push({ row, route, object, arrivedMs: nowMs, loadAtStart: row.inFlight, isKnown: this.selector.hasRecentlyHandled(row, { route, service: 'stock', object }, nowMs) })
    this.selector.recordVisit(row, { route, service: 'stock', object }, nowMs)
    this.startNext(row, nowMs)
  }

  private startNext (row: EndpointRow, nowMs: number): void {
    const endpoint = this.simulated.get(row.record.id)!
    if (endpoint.running >= this.options.slots) return
    const request = endpoint.queue.shift()
    if (request === undefined) return
    endpoint.running += 1
    const serviceTimeMs = endpoint.touch(`${request.route.kind} ${request.object}`) ? this.options.cachedServiceTimeMs : this.options.uncachedServiceTimeMs
    const endMs = nowMs + serviceTimeMs
    this.ends.set(endMs, [...this.ends.get(endMs) ?? [], () => this.end(request, endMs)])
  }

  private end (request: EndpointRequest, nowMs: number): void {
    const { row, route, object, arrivedMs, loadAtStart, isKnown } = request
    const elapsedMs = nowMs - arrivedMs
    this.simulated.get(row.record.id)!.running -= 1
    row.inFlight -= 1
    recordAttempt(row, { result: 'ok', elapsedMs, loadAtStart }, nowMs)
    this.selector.recordVisit(row, { route, service: 'stock', object }, nowMs)
    if (loadAtStart <= row.record.slots) this.selector.recordDuration(row, { route, service: 'stock', object }, isKnown, elapsedMs)
    if (this.isMeasured(arrivedMs)) {
      if (elapsedMs <= this.options.objectiveMs) this.tally.onTime += 1
      this.tally.slowestMs = Math.max(this.tally.slowestMs, elapsedMs)
    }
    this.startNext(row, nowMs)
  }

  /** Returns true for requests in the second half of the simulation; the first half fills the caches. */
  private isMeasured (arrivedMs: number): boolean {
    return arrivedMs >= this.options.seconds * 500
  }
}
