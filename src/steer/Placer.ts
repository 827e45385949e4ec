import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Clock } from '../common/Clock.js'
import type { ResultName } from '../common/ResultName.js'
import type { ConfigDoc } from '../model/ConfigDoc.js'
import { applyAttempt } from './applyAttempt.js'
import type { AttemptResult } from './AttemptResult.js'
import type { EndpointRow } from './EndpointRow.js'
import type { EndpointTable } from './EndpointTable.js'
import { hopDelays } from './hopDelays.js'
import type { LinkTable } from './LinkTable.js'
import type { MoveInput } from './MoveInput.js'
import type { MovePacer } from './MovePacer.js'
import type { OwnerCandidate } from './OwnerCandidate.js'
import type { OwnerTable } from './OwnerTable.js'
import type { RemoteCandidate } from './RemoteCandidate.js'
import { scoreOwner } from './scoreOwner.js'
import { steerLimits } from './steerLimits.js'
import type { SteerRequest } from './SteerRequest.js'
import type { SteerTarget } from './SteerTarget.js'

/** The tables that placement reads and reserves in. */
interface PlacerOptions {
  readonly host: string
  readonly clock: Clock
  /** Number in [0, 1). */
  readonly random: () => number
  readonly endpoints: EndpointTable
  readonly owners: OwnerTable
  readonly links: LinkTable
  readonly pacer: MovePacer
  /** Called when a reservation ended and waiting requests of the service may fit. */
  readonly onRoom: (service: string) => void
}

/** A placed request, or why there is no room for it now. */
type Placement = Result<SteerTarget, ResultName>

/** A remote owner with its score. */
interface ScoredCandidate {
  readonly candidate: RemoteCandidate
  readonly score: number
}

/** Random part of a score; spreads hosts that see the same digests over equal owners. */
const scoreJitter = 0.1

/** Finds room for one request and reserves it at the same moment. */
export class Placer {
  private doc: ConfigDoc | undefined
  private region = ''

  constructor (private readonly options: PlacerOptions) {}

  setConfig (doc: ConfigDoc, region: string): void {
    this.doc = doc
    this.region = region
  }

  /** Reserves room for a request; `ownedOnly` restricts it to endpoints of this host. */
  tryPlace (request: SteerRequest, ownedOnly: boolean, nowMs: number): Placement {
    const mayUseOwn = ownedOnly || request.allowsRegion(this.region)
    const row = mayUseOwn ? this.options.endpoints.findFree(request.service, request.excluded, nowMs) : undefined
    if (ownedOnly) return row === undefined ? err('noCapacity') : ok(this.reserveEndpoint(row))
    const remote = this.findRemote(request, nowMs)
    if (row !== undefined && (remote === undefined || this.scoreLocal(request.service, nowMs) <= remote.score)) {
      return ok(this.reserveEndpoint(row))
    }
    return remote === undefined ? err(this.explainNoRoom(request, nowMs)) : ok(this.reserveOwner(remote.candidate, request, nowMs))
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
    return this.options.pacer.allows(this.describeMove(candidate, request, nowMs))
  }

  private describeMove (candidate: OwnerCandidate, request: SteerRequest, nowMs: number): MoveInput {
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

  /** Cost of an owner under the configured objective. */
  score (candidate: OwnerCandidate): number {
    return scoreOwner(candidate, this.doc?.objective ?? { latency: 1, headroom: 0 })
  }

  private scoreLocal (service: string, nowMs: number): number {
    const load = this.options.endpoints.loadOf(service, nowMs)
    if (load.slots === 0) return Infinity
    return this.score({ ...load, host: this.options.host, region: this.region, delayMs: hopDelays.sameHost })
  }

  private reserveEndpoint (row: EndpointRow): SteerTarget {
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
        this.options.onRoom(row.spec.service)
      }
    }
  }

  private reserveOwner (candidate: RemoteCandidate, request: SteerRequest, nowMs: number): SteerTarget {
    const leaveRegion = candidate.region === this.region ? () => {} : this.options.pacer.enter(this.describeMove(candidate, request, nowMs))
    this.options.owners.noteForward(candidate.host, request.service)
    let isReleased = false
    return {
      kind: 'host',
      host: candidate.spec,
      region: candidate.region,
      release: (result: AttemptResult) => {
        if (isReleased) return
        isReleased = true
        leaveRegion()
        this.options.owners.noteResult(candidate.host, request.service, result, this.options.clock.nowMs())
        this.options.onRoom(request.service)
      }
    }
  }

  /** Why there is no room for a request now. */
  explainNoRoom (request: SteerRequest, nowMs: number): ResultName {
    const { endpoints, owners } = this.options
    if (!endpoints.ownsService(request.service) && !owners.hasOwner(request.service)) return 'noEndpoint'
    const candidates = owners.listCandidates(request.service, request.excluded, nowMs)
    if (candidates.length === 0) return 'noCapacity'
    return candidates.some((candidate) => request.allowsRegion(candidate.region)) ? 'pacingLimit' : 'regionShareCap'
  }
}
