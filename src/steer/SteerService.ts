import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Clock } from '../common/Clock.js'
import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'
import type { ResultName } from '../common/ResultName.js'
import { Table } from '../common/Table.js'
import type { ConfigDoc } from '../model/ConfigDoc.js'
import type { EndpointSpec } from '../model/EndpointSpec.js'
import type { ServiceLoad } from '../model/ServiceLoad.js'
import type { View } from '../model/View.js'
import type { WorkClass } from '../model/WorkClass.js'
import { applyReport } from './applyReport.js'
import type { EndpointReport } from './EndpointReport.js'
import { EndpointTable } from './EndpointTable.js'
import { FairQueue } from './FairQueue.js'
import { LinkTable } from './LinkTable.js'
import { MovePacer } from './MovePacer.js'
import { OwnerTable } from './OwnerTable.js'
import { Placer } from './Placer.js'
import { steerLimits } from './steerLimits.js'
import type { SteerRequest } from './SteerRequest.js'
import { Steering } from './Steering.js'
import type { SteerTarget } from './SteerTarget.js'
import type { WaitingRequest } from './WaitingRequest.js'

/** What the service needs. */
interface SteerOptions {
  readonly host: string
  readonly clock: Clock
  /** Number in [0, 1); breaks ties between equal owners. */
  readonly random: () => number
}

/** Counters of unusual reports and refusals, readable for metrics. */
interface SteerCounters {
  /** Reports that claimed less load than this host itself had in flight. */
  understatedReports: number
  /** Requests shed from a full queue. */
  shed: number
}

const retryAfterMs = 1_000
const idleMoveMs = 60_000
/** Time in ms between checks of ownership without news; only the age of the view can change it. */
const ownershipIntervalMs = 100

/** Steering over the endpoints that this host owns and the owners that the view describes. */
export class SteerService extends Steering {
  readonly counters: SteerCounters = { understatedReports: 0, shed: 0 }
  private readonly endpoints: EndpointTable
  private readonly owners: OwnerTable
  private readonly links: LinkTable
  private readonly pacer = new MovePacer()
  private readonly placer: Placer
  private readonly queues = new Table<FairQueue>()
  private doc: ConfigDoc | undefined
  private view: View | undefined
  private viewAtMs = -Infinity
  private ownershipAtMs = -Infinity
  private isLeaving = false
  private region = ''

  constructor (private readonly options: SteerOptions) {
    super()
    this.endpoints = new EndpointTable(options.host)
    this.owners = new OwnerTable(options.host)
    this.links = new LinkTable(options.host)
    const { endpoints, owners, links, pacer } = this
    this.placer = new Placer({ ...options, endpoints, owners, links, pacer, onRoom: (service) => this.dispatchService(service) })
  }

  setConfig (doc: ConfigDoc): void {
    this.doc = doc
    const zone = doc.hosts.find((host) => host.name === this.options.host)?.zone
    this.region = doc.zones.find((candidate) => candidate.name === zone)?.region ?? ''
    this.links.update(doc)
    this.placer.setConfig(doc, this.region)
    this.refresh()
  }

  setView (view: View): void {
    this.view = view
    this.viewAtMs = this.options.clock.nowMs() - view.contactAgeMs
    this.refresh()
  }

  /** Gives up all endpoints: new work goes to other owners, work in flight ends by itself. */
  prepareStop (): void {
    this.isLeaving = true
    this.refresh()
  }

  /** Ends waits that are over and places requests that fit now. */
  tick (nowMs: number): void {
    if (nowMs - this.ownershipAtMs >= ownershipIntervalMs) this.updateOwnership(nowMs)
    for (const queue of this.queues) {
      for (const waiting of queue.removeExpired(nowMs)) waiting.settle(err(this.refuse(this.explainWait(waiting))))
      this.dispatch(queue, nowMs)
    }
    this.pacer.forgetIdle(nowMs, idleMoveMs)
  }

  override async choose (request: SteerRequest): Promise<Result<SteerTarget, Failure>> {
    return await this.place(request, false, request.waitUntilMs)
  }

  override async chooseOwned (request: SteerRequest): Promise<Result<SteerTarget, Failure>> {
    if (!this.endpoints.ownsService(request.service)) return err(this.refuse('notOwner'))
    const untilMs = Math.min(request.waitUntilMs, this.options.clock.nowMs() + steerLimits.forwardedWaitMs)
    return await this.place(request, true, untilMs)
  }

  override report (endpoint: string, report: EndpointReport, probed: boolean): void {
    const row = this.endpoints.get(endpoint)
    if (row === undefined) return
    const effect = applyReport(row, report, probed, this.options.clock.nowMs())
    if (effect.understated) this.counters.understatedReports += 1
    this.dispatchService(row.spec.service)
  }

  override reserveLinkBytes (region: string, workClass: WorkClass, bytes: number): number {
    return region === this.region ? 0 : this.links.reserve(region, workClass, bytes, this.options.clock.nowMs())
  }

  /** Endpoints that are due for a probe now; each is returned once per interval. */
  listProbes (nowMs: number): EndpointSpec[] {
    return this.endpoints.listProbes(nowMs).map((row) => row.spec)
  }

  /** A probe got no valid answer in time. */
  probeFailed (endpoint: string): void {
    const row = this.endpoints.get(endpoint)
    if (row === undefined) return
    row.failures += 1
    if (row.failures >= steerLimits.maxFailures) row.blocked = true
  }

  /** Load of each service of which this host owns endpoints. */
  listLoads (): ServiceLoad[] {
    return this.endpoints.listLoads(this.options.clock.nowMs())
      .map((load) => ({ ...load, queued: this.queues.get(load.service)?.size ?? 0 }))
  }

  /** Owned endpoints that said themselves that they are leaving. */
  listLeavingEndpoints (): string[] {
    return [...this.endpoints].filter((row) => row.saidLeaving).map((row) => row.spec.name)
  }

  /** Requests in flight at each owned endpoint that is leaving. */
  drainInFlight (): Record<string, number> {
    const leaving = [...this.endpoints].filter((row) => row.drained || row.saidLeaving || row.ownership === 'none')
    return Object.fromEntries(leaving.map((row) => [row.spec.name, row.inFlight]))
  }

  /** Where a request would go now and why, one line per possible owner. */
  explain (service: string): Array<{ step: string, detail: string }> {
    const nowMs = this.options.clock.nowMs()
    const none = new Set<string>()
    const local = this.listLoads().find((load) => load.service === service)
    const own = local === undefined ? 'owns no endpoint' : `${local.used} of ${local.slots} slots used, ${local.queued} waiting`
    const remote = this.owners.listCandidates(service, none, nowMs)
      .map((candidate) => ({ candidate, score: this.placer.score(candidate) }))
      .sort((a, b) => a.score - b.score)
      .map(({ candidate, score }) => ({
        step: 'owner',
        detail: `${candidate.host} in ${candidate.region}: ${candidate.used} of ${candidate.slots} slots used, score ${score.toFixed(1)}`
      }))
    return [{ step: 'own-endpoints', detail: own }, ...remote]
  }

  private async place (request: SteerRequest, ownedOnly: boolean, untilMs: number): Promise<Result<SteerTarget, Failure>> {
    const nowMs = this.options.clock.nowMs()
    const queue = this.queues.ensure(request.service, () => new FairQueue())
    if (queue.size === 0) {
      const placement = this.placer.tryPlace(request, ownedOnly, nowMs)
      if (placement.isOk()) return ok(placement.value)
      if (placement.error === 'noEndpoint' || untilMs <= nowMs) return err(this.refuse(placement.error))
    }
    return await this.enqueue(queue, request, ownedOnly, untilMs)
  }

  private async enqueue (queue: FairQueue, request: SteerRequest, ownedOnly: boolean, untilMs: number): Promise<Result<SteerTarget, Failure>> {
    return await new Promise((resolve) => {
      const leave = (): void => {
        if (queue.remove(waiting)) resolve(err(this.refuse('noCapacity')))
      }
      const waiting: WaitingRequest = {
        request,
        ownedOnly,
        untilMs,
        settle: (result) => {
          request.signal.removeEventListener('abort', leave)
          resolve(result)
        }
      }
      request.signal.addEventListener('abort', leave, { once: true })
      queue.add(waiting)
      this.shedOverflow(queue, request.service)
      this.dispatch(queue, this.options.clock.nowMs())
    })
  }

  private shedOverflow (queue: FairQueue, service: string): void {
    const slots = this.endpoints.loadOf(service, this.options.clock.nowMs()).slots
    if (queue.size <= Math.max(steerLimits.minQueue, slots * steerLimits.queuePerSlot)) return
    const victim = queue.findVictim()
    if (victim === undefined) return
    queue.remove(victim)
    this.counters.shed += 1
    victim.settle(err(this.refuse('shed')))
  }

  private dispatchService (service: string): void {
    const queue = this.queues.get(service)
    if (queue !== undefined) this.dispatch(queue, this.options.clock.nowMs())
  }

  /** Places waiting requests in fair order until none of the next ones fits. */
  private dispatch (queue: FairQueue, nowMs: number): void {
    let placed = true
    while (placed && queue.size > 0) {
      placed = queue.listNext().some((waiting) => this.tryDispatch(queue, waiting, nowMs))
    }
  }

  private tryDispatch (queue: FairQueue, waiting: WaitingRequest, nowMs: number): boolean {
    const placement = this.placer.tryPlace(waiting.request, waiting.ownedOnly, nowMs)
    if (placement.isErr()) return false
    queue.take(waiting)
    waiting.settle(ok(placement.value))
    return true
  }

  private refresh (): void {
    const nowMs = this.options.clock.nowMs()
    if (this.doc !== undefined && this.view !== undefined) this.owners.update(this.doc, this.view.members)
    this.updateOwnership(nowMs)
    for (const queue of this.queues) this.dispatch(queue, nowMs)
  }

  private updateOwnership (nowMs: number): void {
    this.ownershipAtMs = nowMs
    if (this.doc === undefined) return
    const isViewFresh = nowMs - this.viewAtMs <= steerLimits.viewMaxAgeMs
    this.endpoints.update({ doc: this.doc, view: this.view, isViewFresh, isLeaving: this.isLeaving })
  }

  private explainWait (waiting: WaitingRequest): ResultName {
    return waiting.ownedOnly ? 'noCapacity' : this.placer.explainNoRoom(waiting.request, this.options.clock.nowMs())
  }

  private refuse (name: ResultName): Failure {
    return createFailure(name, { retryAfterMs })
  }
}
