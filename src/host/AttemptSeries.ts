import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'
import { Outcome } from '../common/Outcome.js'
import type { ResultName } from '../common/ResultName.js'
import type { OpenResponse } from '../entry/OpenResponse.js'
import type { EndpointRow } from '../endpoints/EndpointRow.js'
import { estimateLoad } from '../endpoints/estimateLoad.js'
import { RequestKind } from '../routing/RequestKind.js'
import type { SelectionRequest } from '../placing/SelectionRequest.js'
import { EndpointAttempt } from './EndpointAttempt.js'
import type { HostContext } from './HostContext.js'
import { hostLimits } from './hostLimits.js'
import type { ServedRequest } from './ServedRequest.js'

/** Why an attempt failed. */
interface AttemptFailure {
  readonly name: ResultName
  readonly outcome: Outcome
}

/** Endpoint status codes after which an idempotent request is retried at another endpoint. */
const retryableStatuses = new Set([500, 502, 503, 504])
/** Failures that keep their name when the request may have run; the others become `upstreamReset`. Their statuses promise nothing. */
const namedUnknownFailures: ReadonlySet<ResultName> = new Set(['upstreamTimeout', 'deadlineExceeded', 'upstreamAmbiguous'])
/** Extra attempts per request when the request did not run, as with refused connections. */
const maxNotRunAttempts = 4

/** Chooses endpoints and makes attempts until a request is answered or may not be retried. */
export class AttemptSeries {
  private readonly excluded = new Set<string>()
  private attempts = 0
  /** Number of attempts in which the request may have run. */
  private possibleRuns = 0
  /** Failure of the last attempt, or the reason why no attempt was made. */
  private lastFailure: AttemptFailure | undefined
  /** Error response of an endpoint, passed on when no later attempt gives a better answer. */
  private fallbackAnswer: OpenResponse | undefined
  /** Endpoint of the last attempt. */
  private lastEndpoint = ''
  /** Load of that endpoint and age in ms of its last load report when the attempt began. */
  private lastLoad = 0
  private lastReportAgeMs = 0
  /** Status of the last response of an endpoint that was replaced. */
  private replacedStatus: number | undefined
  /** Endpoint, result and connection of each attempt. */
  private readonly tried: string[] = []

  constructor (private readonly context: HostContext, private readonly request: ServedRequest) {}

  /** Returns log fields that explain the choice of endpoint. */
  describeDecision (): Record<string, string | number> {
    const { service } = this.request
    const endpoints = this.context.endpointsVersion()
    if (this.attempts === 0) return { service, attempts: 0, endpoints }
    const tried = this.attempts === 1 ? {} : { tried: this.tried.join(' ') }
    const replaced = this.replacedStatus === undefined ? {} : { endpointStatus: this.replacedStatus }
    return { service, endpoint: this.lastEndpoint, attempts: this.attempts, load: this.lastLoad, reportAgeMs: this.lastReportAgeMs, endpoints, ...replaced, ...tried }
  }

  async run (): Promise<Result<OpenResponse, Failure>> {
    const { context, request } = this
    context.retries.recordRequest(request.service, context.clock.nowMs())
    context.requestRate.recordRequest(request.service, context.clock.nowMs())
    for (;;) {
      const row = this.chooseEndpoint()
      if (row === undefined) return this.giveUp()
      const end = await this.runAttempt(row)
      if (end.kind === 'answer') {
        if (!this.mayRetryAnswer(end.open)) return ok(end.open)
        this.fallbackAnswer = end.open
      } else if (!this.mayRetry(end)) {
        return this.giveUp()
      }
    }
  }

  /** Chooses the endpoint of the next attempt. Returns undefined when no attempt may be made. */
  private chooseEndpoint (): EndpointRow | undefined {
    const { context, request } = this
    if (request.scope.reason !== undefined) {
      this.lastFailure ??= { name: 'deadlineExceeded', outcome: Outcome.notRun }
      return undefined
    }
    if (!context.mayPassOn(request.scope.leftMs)) {
      this.lastFailure ??= { name: 'hostLeaving', outcome: Outcome.notRun }
      return undefined
    }
    const nowMs = context.clock.nowMs()
    const row = context.endpointSelector.choose(this.createSelectionRequest(), nowMs)
    if (row === undefined) {
      this.lastFailure ??= this.createPlacementFailure()
      return undefined
    }
    if (this.lastFailure === undefined) return row
    if (!context.retries.take(request.service, nowMs)) {
      context.metrics.recordDeniedRetry(this.lastFailure.name, request.service)
      if (this.possibleRuns === 0) this.lastFailure = { name: 'retryBudget', outcome: Outcome.notRun }
      return undefined
    }
    context.metrics.recordRetry(this.lastFailure.name, request.service)
    return row
  }

  private async runAttempt (row: EndpointRow): Promise<Awaited<EndpointAttempt['end']>> {
    this.recordChoice(row)
    this.attempts += 1
    const attempt = new EndpointAttempt(this.context, this.request, row)
    const end = await attempt.end
    this.excluded.add(row.record.id)
    this.lastFailure = end.kind === 'answer' ? { name: 'upstreamReset', outcome: Outcome.unknown } : { name: end.name, outcome: end.outcome }
    if (this.lastFailure.outcome === Outcome.unknown) this.possibleRuns += 1
    if (end.kind === 'failure') this.replacedStatus = end.replacedStatus
    const result = end.kind === 'answer' ? String(end.open.response.status) : `${end.name}:${end.outcome}`
    this.tried.push(`${row.record.id}@${row.record.address}:${result}:${attempt.connection}`)
    return end
  }

  /** Returns the error response of an endpoint when there is one, otherwise the failure. */
  private giveUp (): Result<OpenResponse, Failure> {
    return this.fallbackAnswer === undefined ? err(this.toFailure(this.lastFailure!)) : ok(this.fallbackAnswer)
  }

  private recordChoice (row: EndpointRow): void {
    const nowMs = this.context.clock.nowMs()
    this.lastEndpoint = row.record.id
    this.lastLoad = estimateLoad(row, nowMs)
    this.lastReportAgeMs = Math.round(nowMs - row.reportedAtMs)
  }

  private createSelectionRequest (): SelectionRequest {
    const { route, service, object, scope } = this.request
    return { route, service, object, remainingMs: scope.leftMs, excluded: this.excluded }
  }

  /** Returns true when an endpoint's answer is an error that another attempt may improve on. */
  private mayRetryAnswer (open: OpenResponse): boolean {
    if (!retryableStatuses.has(open.response.status) || open.response.stream !== undefined) return false
    return this.mayRetry({ name: 'upstreamReset', outcome: Outcome.unknown })
  }

  private mayRetry (failure: AttemptFailure): boolean {
    const { body, scope, route } = this.request
    if (scope.reason !== undefined || scope.leftMs <= 0 || !body.isReplayable) return false
    if (this.attempts >= route.maxAttempts + maxNotRunAttempts || this.possibleRuns >= route.maxAttempts) return false
    return route.kind === RequestKind.idempotent || failure.outcome === Outcome.notRun
  }

  private createPlacementFailure (): AttemptFailure {
    const isServed = this.context.endpointSelector.hasEligibleEndpoint(this.createSelectionRequest())
    return { name: isServed ? 'noCapacity' : 'noEndpoint', outcome: Outcome.notRun }
  }

  /** Converts the last failure to the response. Its outcome is `not-run` only when no attempt can have run. */
  private toFailure (failure: AttemptFailure): Failure {
    if (this.possibleRuns > 0) {
      const name = namedUnknownFailures.has(failure.name) ? failure.name : 'upstreamReset'
      return createFailure(name, { outcome: Outcome.unknown })
    }
    if (failure.name === 'upstreamTimeout' || failure.name === 'deadlineExceeded') return createFailure('deadlineExceeded')
    const name = failure.name === 'upstreamRefused' ? 'noEndpoint' : failure.name
    return createFailure(name, { retryAfterMs: name === 'hostLeaving' ? hostLimits.leavingRetryMs : this.chooseRetryAfterMs() })
  }

  /** Adds jitter, so that callers that were refused together don't retry together. Nothing is gained by a retry while all endpoints back off. */
  private chooseRetryAfterMs (): number {
    const { minRetryAfterShare: min, maxRetryAfterShare: max } = hostLimits
    const { endpointSelector, clock, random } = this.context
    const backoffMs = endpointSelector.getBackoffMs(this.createSelectionRequest(), clock.nowMs())
    return Math.round(backoffMs + this.request.route.objectiveMs * (min + (max - min) * random()))
  }
}
