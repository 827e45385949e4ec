import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'
import { Outcome } from '../common/Outcome.js'
import type { ResultName } from '../common/ResultName.js'
import type { OpenAnswer } from '../entry/OpenAnswer.js'
import type { EndpointRow } from '../endpoints/EndpointRow.js'
import { estimateLoad } from '../endpoints/estimateLoad.js'
import { WorkKind } from '../routing/WorkKind.js'
import type { PlaceRequest } from '../placing/PlaceRequest.js'
import { EndpointAttempt } from './EndpointAttempt.js'
import type { HostContext } from './HostContext.js'
import { hostLimits } from './hostLimits.js'
import type { ServedRequest } from './ServedRequest.js'

/** Why an attempt failed. */
interface AttemptFailure {
  readonly name: ResultName
  readonly outcome: Outcome
}

/** Statuses of endpoints after which idempotent work is tried at another one. */
const retryableStatuses = new Set([500, 502, 503, 504])
/** Attempts for one request in which nothing ran, such as refused connections. */
const maxNotRunAttempts = 4

/** Chooses endpoints and makes attempts until a request is answered or may not be tried again. */
export class AttemptSeries {
  private readonly excluded = new Set<string>()
  private attempts = 0
  /** Attempts that may have run. */
  private possibleRuns = 0
  /** Why the last attempt did not end the series. */
  private lastFailure: AttemptFailure | undefined
  /** An endpoint's error, kept in case that no other endpoint does better. */
  private fallbackAnswer: OpenAnswer | undefined
  /** Endpoint of the last attempt. */
  private lastEndpoint = ''
  /** Requests at that endpoint, and age in ms of its last load report, when the attempt began. */
  private lastLoad = 0
  private lastReportAgeMs = 0

  constructor (private readonly context: HostContext, private readonly request: ServedRequest) {}

  /** What decided the series, for logs. */
  describeDecision (): Record<string, string | number> {
    const { service } = this.request
    const endpoints = this.context.endpointsVersion()
    if (this.attempts === 0) return { service, attempts: 0, endpoints }
    return { service, endpoint: this.lastEndpoint, attempts: this.attempts, load: this.lastLoad, reportAgeMs: this.lastReportAgeMs, endpoints }
  }

  async run (): Promise<Result<OpenAnswer, Failure>> {
    const { context, request } = this
    context.retries.noteRequest(request.service, context.clock.nowMs())
    context.demand.note(request.service, context.clock.nowMs())
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

  /** The endpoint of the next attempt; undefined when there is to be none. */
  private chooseEndpoint (): EndpointRow | undefined {
    const { context, request } = this
    if (request.scope.reason !== undefined) {
      this.lastFailure ??= { name: 'deadlineExceeded', outcome: Outcome.notRun }
      return undefined
    }
    const nowMs = context.clock.nowMs()
    const row = context.placer.choose(this.createPlaceRequest(), nowMs)
    if (row === undefined) {
      this.lastFailure ??= this.createPlacementFailure()
      return undefined
    }
    if (this.lastFailure === undefined) return row
    if (!context.retries.take(request.service, nowMs)) {
      if (this.possibleRuns === 0) this.lastFailure = { name: 'retryBudget', outcome: Outcome.notRun }
      return undefined
    }
    context.metrics.recordRetry(this.lastFailure.name, request.service)
    return row
  }

  private async runAttempt (row: EndpointRow): Promise<Awaited<EndpointAttempt['end']>> {
    this.recordChoice(row)
    this.attempts += 1
    const end = await new EndpointAttempt(this.context, this.request, row).end
    this.excluded.add(row.record.id)
    this.lastFailure = end.kind === 'answer' ? { name: 'upstreamReset', outcome: Outcome.unknown } : { name: end.name, outcome: end.outcome }
    if (this.lastFailure.outcome === Outcome.unknown) this.possibleRuns += 1
    return end
  }

  /** Without a better answer, the error that an endpoint gave, else a refusal. */
  private giveUp (): Result<OpenAnswer, Failure> {
    return this.fallbackAnswer === undefined ? err(this.toFailure(this.lastFailure!)) : ok(this.fallbackAnswer)
  }

  private recordChoice (row: EndpointRow): void {
    const nowMs = this.context.clock.nowMs()
    this.lastEndpoint = row.record.id
    this.lastLoad = estimateLoad(row, nowMs)
    this.lastReportAgeMs = Math.round(nowMs - row.reportedAtMs)
  }

  private createPlaceRequest (): PlaceRequest {
    const { route, service, object, scope } = this.request
    return { route, service, object, leftMs: scope.leftMs, excluded: this.excluded }
  }

  /** True when another attempt may give a better answer than an endpoint's error. */
  private mayRetryAnswer (open: OpenAnswer): boolean {
    if (!retryableStatuses.has(open.answer.status) || open.answer.rest !== undefined) return false
    return this.mayRetry({ name: 'upstreamReset', outcome: Outcome.unknown })
  }

  private mayRetry (failure: AttemptFailure): boolean {
    const { body, scope, route } = this.request
    if (scope.reason !== undefined || scope.leftMs <= 0 || !body.isReplayable) return false
    if (this.attempts >= route.maxAttempts + maxNotRunAttempts || this.possibleRuns >= route.maxAttempts) return false
    return route.kind === WorkKind.idempotent || failure.outcome === Outcome.notRun
  }

  private createPlacementFailure (): AttemptFailure {
    const isServed = this.context.placer.hasEndpoint(this.createPlaceRequest())
    return { name: isServed ? 'noCapacity' : 'noEndpoint', outcome: Outcome.notRun }
  }

  /** The failure to answer with: one that says `not-run` only when no attempt can have run. */
  private toFailure (failure: AttemptFailure): Failure {
    if (this.possibleRuns > 0) {
      const name = failure.name === 'upstreamTimeout' || failure.name === 'deadlineExceeded' ? failure.name : 'upstreamReset'
      return createFailure(name, { outcome: Outcome.unknown })
    }
    if (failure.name === 'upstreamTimeout' || failure.name === 'deadlineExceeded') return createFailure('deadlineExceeded')
    const name = failure.name === 'upstreamRefused' ? 'noEndpoint' : failure.name
    return createFailure(name, { retryAfterMs: this.chooseRetryAfterMs() })
  }

  /** Spread, so that callers that were refused together don't return together. */
  private chooseRetryAfterMs (): number {
    const { minRetryAfterShare: min, maxRetryAfterShare: max } = hostLimits
    return Math.round(this.request.route.objectiveMs * (min + (max - min) * this.context.random()))
  }
}
