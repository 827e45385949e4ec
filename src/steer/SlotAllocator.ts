import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Clock } from '../common/Clock.js'
import type { ResultName } from '../common/ResultName.js'
import type { ConfigDoc } from '../model/ConfigDoc.js'
import { applyAttempt } from './applyAttempt.js'
import type { AttemptResult } from './AttemptResult.js'
import { hopDelays } from './hopDelays.js'
import type { LinkTable } from './LinkTable.js'
import type { MovePacer } from './MovePacer.js'
import type { OwnedEndpointRow } from './OwnedEndpointRow.js'
import type { OwnedEndpointTable } from './OwnedEndpointTable.js'
import type { OwnerCandidate } from './OwnerCandidate.js'
import type { OwnerTable } from './OwnerTable.js'
import type { RegionMove } from './RegionMove.js'
import type { RemoteCandidate } from './RemoteCandidate.js'
import { scoreOwner } from './scoreOwner.js'
import { steerLimits } from './steerLimits.js'
import type { SteerRequest } from './SteerRequest.js'
import type { SteerTarget } from './SteerTarget.js'

/** Tables from which slots are allocated. */
interface SlotAllocatorOptions {
  readonly host: string
  readonly clock: Clock
  /** Returns a number in [0, 1). */
  readonly random: () => number
  readonly endpoints: OwnedEndpointTable
  readonly owners: OwnerTable
  readonly links: LinkTable
  readonly pacer: MovePacer
  /** Called when a reservation has ended, since a waiting request of the service may now get a slot. */
  readonly onSlotReleased: (service: string) => void
}

/** The target with a reserved slot, or the result code for which none could be reserved. */
type AllocationResult = Result<SteerTarget, ResultName>

/** A remote owner with its score. */
interface ScoredCandidate {
  readonly candidate: RemoteCandidate
  readonly score: number
}

/** Random fraction added to scores, so that hosts with the same digests spread their requests over equal owners. */
const scoreJitter = 0.1

/** Finds and reserves a slot for a request in one synchronous step. */
export class SlotAllocator {
  private doc: ConfigDoc | undefined
  private region = ''

  constructor (private readonly options: SlotAllocatorOptions) {}

  setConfig (doc: ConfigDoc, region: string): void {
    this.doc = doc
    this.region = region
  }

  /** Reserves a slot for a request; `ownedOnly` restricts the choice to endpoints that this host owns. */
  tryAllocate (request: SteerRequest, ownedOnly: boolean, nowMs: number): AllocationResult {
    const mayUseOwn = ownedOnly || request.allowsRegion(this.region)
    const row = mayUseOwn ? this.options.endpoints.findMostFree(request.service, request.excluded, nowMs) : undefined
    if (ownedOnly) return row === undefined ? err('noCapacity') : ok(this.reserveEndpoint(row))
    const remote = this.findRemote(request, nowMs)
    if (row !== undefined && (remote === undefined || this.scoreOwnEndpoints(request.service, nowMs) <= remote.score)) {
      return ok(this.reserveEndpoint(row))
    }
    return remote === undefined ? err(this.findRefusalReason(request, nowMs)) : ok(this.reserveForward(remote.candidate, request, nowMs))
  }

  private findRemote (request: SteerRequest, nowMs: number): ScoredCandidate | undefined {
    let best: ScoredCandidate | undefined
    for (const candidate of this.options.owners.listCandidates(request.service, request.excluded, nowMs)) {
      if (!this.allowsMove(candidate, request, nowMs)) continue
      const score = this.score(candidate) * (1 + scoreJitter * this.options.random())
      if (best === undefined || score < best.score) best = { candidate, score }
    }
    return best
  }

  private allowsMove (candidate: OwnerCandidate, request: SteerRequest, nowMs: number): boolean {
    if (!request.allowsRegion(candidate.region)) return false
    if (candidate.region === this.region) return true
    if (this.options.links.delayMs(candidate.region, request.workClass, nowMs) > steerLimits.maxLinkDelayMs) return false
    return this.options.pacer.allows(this.createRegionMove(candidate, request, nowMs))
  }

  private createRegionMove (candidate: OwnerCandidate, request: SteerRequest, nowMs: number): RegionMove {
    const slots = this.options.owners.countSlots(request.service, candidate.region)
    const senders = Math.max(1, this.doc?.hosts.length ?? 1)
    return {
      customer: request.customer,
      service: request.service,
      region: candidate.region,
      growthPerSecond: request.moveStep * slots / senders,
      nowMs
    }
  }

  /** Returns the cost of an owner under the configured objective. */
  score (candidate: OwnerCandidate): number {
    return scoreOwner(candidate, this.doc?.objective ?? { latency: 1, headroom: 0 })
  }

  private scoreOwnEndpoints (service: string, nowMs: number): number {
    const load = this.options.endpoints.loadOf(service, nowMs)
    if (load.slots === 0) return Infinity
    return this.score({ ...load, host: this.options.host, region: this.region, delayMs: hopDelays.sameHost })
  }

  private reserveEndpoint (row: OwnedEndpointRow): SteerTarget {
    row.inFlight += 1
    let isReleased = false
    return {
      kind: 'endpoint',
      endpoint: row.spec,
      region: row.region,
      release: (result, elapsedMs) => {
        if (isReleased) return
        isReleased = true
        applyAttempt(row, result, elapsedMs, this.options.clock.nowMs())
        this.options.onSlotReleased(row.spec.service)
      }
    }
  }

  private reserveForward (candidate: RemoteCandidate, request: SteerRequest, nowMs: number): SteerTarget {
    const endMove = candidate.region === this.region ? () => {} : this.options.pacer.begin(this.createRegionMove(candidate, request, nowMs))
    this.options.owners.recordForward(candidate.host, request.service)
    let isReleased = false
    return {
      kind: 'host',
      host: candidate.spec,
      region: candidate.region,
      release: (result: AttemptResult) => {
        if (isReleased) return
        isReleased = true
        endMove()
        this.options.owners.recordForwardResult(candidate.host, request.service, result, this.options.clock.nowMs())
        this.options.onSlotReleased(request.service)
      }
    }
  }

  /** Returns the result code for a request that gets no slot now. */
  findRefusalReason (request: SteerRequest, nowMs: number): ResultName {
    const { endpoints, owners } = this.options
    if (!endpoints.ownsService(request.service) && !owners.hasOwner(request.service)) return 'noEndpoint'
    const candidates = owners.listCandidates(request.service, request.excluded, nowMs)
    if (candidates.length === 0) return 'noCapacity'
    return candidates.some((candidate) => request.allowsRegion(candidate.region)) ? 'pacingLimit' : 'regionShareCap'
  }
}
