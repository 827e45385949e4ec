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
import { FairQueue } from './FairQueue.js'
import { LinkTable } from './LinkTable.js'
import { MovePacer } from './MovePacer.js'
import { OwnedEndpointTable } from './OwnedEndpointTable.js'
import { OwnerTable } from './OwnerTable.js'
import { SlotAllocator } from './SlotAllocator.js'
import { Steering } from './Steering.js'
import { steerLimits } from './steerLimits.js'
import type { SteerRequest } from './SteerRequest.js'
import type { SteerTarget } from './SteerTarget.js'
import type { WaitingRequest } from './WaitingRequest.js'

/** Dependencies of the service. */
interface SteerOptions {
  readonly host: string
  readonly clock: Clock
  /** Returns a number in [0, 1); breaks ties between equal owners. */
  readonly random: () => number
}

/** Counters of implausible reports and shed requests. */
interface SteerCounters {
  /** Reports with fewer used slots than this host had requests in flight. */
  understatedReports: number
  /** Requests shed from a full queue. */
  shed: number
}

const retryAfterMs = 1_000
const idleMoveMs = 60_000
/** Time in ms between ownership updates while neither configuration nor view changes; only the age of the view matters then. */
const ownershipIntervalMs = 100

/** Steers requests to the endpoints that this host owns and to the other owners in the view. */
export class SteerService extends Steering {
  readonly counters: SteerCounters = { understatedReports: 0, shed: 0 }
  private readonly endpoints: OwnedEndpointTable
  private readonly owners: OwnerTable
  private readonly links: LinkTable
  private readonly pacer = new MovePacer()
  private readonly allocator: SlotAllocator
  private readonly queues = new Table<FairQueue>()
  private doc: ConfigDoc | undefined
  private view: View | undefined
  private viewContactAtMs = -Infinity
  private ownershipCheckedAtMs = -Infinity
  private isLeaving = false
  private region = ''

  constructor (private readonly options: SteerOptions) {
    super()
    this.endpoints = new OwnedEndpointTable(options.host)
    this.owners = new OwnerTable(options.host)
    this.links = new LinkTable(options.host)
    const { endpoints, owners, links, pacer } = this
    this.allocator = new SlotAllocator({ ...options, endpoints, owners, links, pacer, onSlotReleased: (service) => this.dispatchService(service) })
  }

  setConfig (doc: ConfigDoc): void {
    this.doc = doc
    const zone = doc.hosts.find((host) => host.name === this.options.host)?.zone
    this.region = doc.zones.find((candidate) => candidate.name === zone)?.region ?? ''
    this.links.update(doc)
    this.allocator.setConfig(doc, this.region)
    this.refresh()
  }

  setView (view: View): void {
    this.view = view
    this.viewContactAtMs = this.options.clock.nowMs() - view.contactAgeMs
    this.refresh()
  }

  /** Gives up all endpoints. New requests go to other owners; requests in flight continue. */
  prepareStop (): void {
    this.isLeaving = true
    this.refresh()
  }

  /** Refuses requests whose wait has expired and dispatches the ones that get a slot now. */
  tick (nowMs: number): void {
    if (nowMs - this.ownershipCheckedAtMs >= ownershipIntervalMs) this.updateOwnership(nowMs)
    for (const queue of this.queues) {
      for (const waiting of queue.removeExpired(nowMs)) waiting.settle(err(this.refuse(this.findExpiryReason(waiting))))
      this.dispatch(queue, nowMs)
    }
    this.pacer.removeIdle(nowMs, idleMoveMs)
  }

  override async choose (request: SteerRequest): Promise<Result<SteerTarget, Failure>> {
    return await this.allocate(request, false, request.waitUntilMs)
  }

  override async chooseOwned (request: SteerRequest): Promise<Result<SteerTarget, Failure>> {
    if (!this.endpoints.ownsService(request.service)) return err(this.refuse('notOwner'))
    const expiresAtMs = Math.min(request.waitUntilMs, this.options.clock.nowMs() + steerLimits.forwardedWaitMs)
    return await this.allocate(request, true, expiresAtMs)
  }

  override recordReport (endpoint: string, report: EndpointReport, isProbe: boolean): void {
    const row = this.endpoints.get(endpoint)
    if (row === undefined) return
    const effect = applyReport(row, report, isProbe, this.options.clock.nowMs())
    if (effect.isUnderstated) this.counters.understatedReports += 1
    this.dispatchService(row.spec.service)
  }

  override reserveLinkBytes (region: string, workClass: WorkClass, bytes: number): number {
    return region === this.region ? 0 : this.links.reserve(region, workClass, bytes, this.options.clock.nowMs())
  }

  /** Returns the endpoints that are due for a probe; each is returned once per interval. */
  takeDueProbes (nowMs: number): EndpointSpec[] {
    return this.endpoints.takeDueProbes(nowMs).map((row) => row.spec)
  }

  /** Records a probe that got no valid answer in time. */
  recordProbeFailure (endpoint: string): void {
    const row = this.endpoints.get(endpoint)
    if (row === undefined) return
    row.failures += 1
    if (row.failures >= steerLimits.maxFailures) row.isEjected = true
  }

  /** Returns the load of each service of which this host owns endpoints. */
  listLoads (): ServiceLoad[] {
    return this.endpoints.listLoads(this.options.clock.nowMs())
      .map((load) => ({ ...load, queued: this.queues.get(load.service)?.size ?? 0 }))
  }

  /** Returns the endpoints whose last report had the state `draining`. */
  listLeavingEndpoints (): string[] {
    return [...this.endpoints].filter((row) => row.isDrainReported).map((row) => row.spec.name)
  }

  /** Returns the requests in flight at each endpoint that is draining, or that this host no longer owns. */
  drainInFlight (): Record<string, number> {
    const leaving = [...this.endpoints].filter((row) => row.isDrainRequested || row.isDrainReported || row.ownership === 'none')
    return Object.fromEntries(leaving.map((row) => [row.spec.name, row.inFlight]))
  }

  /** Describes the possible owners for a request of the service now, one step for each. */
  explain (service: string): Array<{ step: string, detail: string }> {
    const nowMs = this.options.clock.nowMs()
    const noExclusions = new Set<string>()
    const ownLoad = this.listLoads().find((load) => load.service === service)
    const ownDetail = ownLoad === undefined ? 'owns no endpoint' : `${ownLoad.used} of ${ownLoad.slots} slots used, ${ownLoad.queued} waiting`
    const remote = this.owners.listCandidates(service, noExclusions, nowMs)
      .map((candidate) => ({ candidate, score: this.allocator.score(candidate) }))
      .sort((a, b) => a.score - b.score)
      .map(({ candidate, score }) => ({
        step: 'owner',
        detail: `${candidate.host} in ${candidate.region}: ${candidate.used} of ${candidate.slots} slots used, score ${score.toFixed(1)}`
      }))
    return [{ step: 'own-endpoints', detail: ownDetail }, ...remote]
  }

  private async allocate (request: SteerRequest, ownedOnly: boolean, expiresAtMs: number): Promise<Result<SteerTarget, Failure>> {
    const nowMs = this.options.clock.nowMs()
    const queue = this.queues.ensure(request.service, () => new FairQueue())
    if (queue.size === 0) {
      const placement = this.allocator.tryAllocate(request, ownedOnly, nowMs)
      if (placement.isOk()) return ok(placement.value)
      if (placement.error === 'noEndpoint' || expiresAtMs <= nowMs) return err(this.refuse(placement.error))
    }
    return await this.enqueue(queue, request, ownedOnly, expiresAtMs)
  }

  private async enqueue (queue: FairQueue, request: SteerRequest, ownedOnly: boolean, expiresAtMs: number): Promise<Result<SteerTarget, Failure>> {
    return await new Promise((resolve) => {
      const onAbort = (): void => {
        if (queue.remove(waiting)) resolve(err(this.refuse('noCapacity')))
      }
      const waiting: WaitingRequest = {
        request,
        ownedOnly,
        expiresAtMs,
        settle: (result) => {
          request.signal.removeEventListener('abort', onAbort)
          resolve(result)
        }
      }
      request.signal.addEventListener('abort', onAbort, { once: true })
      queue.add(waiting)
      this.shedOverflow(queue, request.service)
      this.dispatch(queue, this.options.clock.nowMs())
    })
  }

  private shedOverflow (queue: FairQueue, service: string): void {
    const slots = this.endpoints.loadOf(service, this.options.clock.nowMs()).slots
    if (queue.size <= Math.max(steerLimits.minQueue, slots * steerLimits.queuePerSlot)) return
    const dropped = queue.findRequestToShed()
    if (dropped === undefined) return
    queue.remove(dropped)
    this.counters.shed += 1
    dropped.settle(err(this.refuse('shed')))
  }

  private dispatchService (service: string): void {
    const queue = this.queues.get(service)
    if (queue !== undefined) this.dispatch(queue, this.options.clock.nowMs())
  }

  /** Dispatches waiting requests in fair order until none of the next ones gets a slot. */
  private dispatch (queue: FairQueue, nowMs: number): void {
    let isAnyPlaced = true
    while (isAnyPlaced && queue.size > 0) {
      isAnyPlaced = queue.listNext().some((waiting) => this.tryDispatch(queue, waiting, nowMs))
    }
  }

  private tryDispatch (queue: FairQueue, waiting: WaitingRequest, nowMs: number): boolean {
    const placement = this.allocator.tryAllocate(waiting.request, waiting.ownedOnly, nowMs)
    if (placement.isErr()) return false
    queue.dequeue(waiting)
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
    this.ownershipCheckedAtMs = nowMs
    if (this.doc === undefined) return
    const isViewFresh = nowMs - this.viewContactAtMs <= steerLimits.viewMaxAgeMs
    this.endpoints.update({ doc: this.doc, view: this.view, isViewFresh, isLeaving: this.isLeaving })
  }

  private findExpiryReason (waiting: WaitingRequest): ResultName {
    return waiting.ownedOnly ? 'noCapacity' : this.allocator.findRefusalReason(waiting.request, this.options.clock.nowMs())
  }

  private refuse (name: ResultName): Failure {
    return createFailure(name, { retryAfterMs })
  }
}
