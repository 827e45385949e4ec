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
interface AttemptFault {
  readonly name: ResultName
  readonly outcome: Outcome
}

/** Statuses of endpoints after which idempotent work is tried at another one. */
const retryableStatuses = new Set([500, 502, 503, 504])
/** Attempts for one request in which nothing ran, such as refused connections. */
const maxIdleAttempts = 4

/** Chooses endpoints and makes attempts until a request is answered or may not be tried again. */
export class AttemptSeries {
  private readonly excluded = new Set<string>()
  private attempts = 0
  /** Attempts that may have run. */
  private runs = 0

  constructor (private readonly context: HostContext, private readonly request: ServedRequest) {}

  /** Endpoint of the last attempt. */
  private lastEndpoint = ''
  /** Requests at that endpoint, and age in ms of its last load report, when the attempt began. */
  private lastLoad = 0
  private lastReportAgeMs = 0

  /** What decided the series, for logs. */
  describeDecision (): Record<string, string | number> {
    const { service } = this.request
    const endpoints = this.context.catalogVersion()
    if (this.attempts === 0) return { service, attempts: 0, endpoints }
    return { service, endpoint: this.lastEndpoint, attempts: this.attempts, load: this.lastLoad, reportAgeMs: this.lastReportAgeMs, endpoints }
  }

  async run (): Promise<Result<OpenAnswer, Failure>> {
    const { context, request } = this
    context.retries.noteRequest(request.service, context.clock.nowMs())
    context.demand.note(request.service, context.clock.nowMs())
    let fault: AttemptFault | undefined
    let unwanted: OpenAnswer | undefined
    for (;;) {
      if (request.scope.reason !== undefined) return err(this.describe(fault ?? { name: 'deadlineExceeded', outcome: Outcome.notRun }))
      const row = context.placer.choose(this.createPlaceRequest(), context.clock.nowMs())
      if (row === undefined) return unwanted === undefined ? err(this.describe(fault ?? this.findObstacle())) : ok(unwanted)
      if (this.attempts > 0 && !context.retries.take(request.service, context.clock.nowMs())) {
        return unwanted === undefined ? err(this.describe({ ...fault!, name: this.runs > 0 ? fault!.name : 'retryBudget' })) : ok(unwanted)
      }
      if (fault !== undefined) context.metrics.retried(fault.name, request.service)
      this.attempts += 1
      this.noteChoice(row)
      const end = await new EndpointAttempt(context, request, row).end
      this.excluded.add(this.lastEndpoint)
      if (end.kind === 'answer') {
        this.runs += 1
        if (!this.mayReplace(end.open)) return ok(end.open)
        unwanted = end.open
        fault = { name: 'upstreamReset', outcome: Outcome.unknown }
        continue
      }
      fault = { name: end.name, outcome: end.outcome }
      if (end.outcome === Outcome.unknown) this.runs += 1
      if (!this.mayRetry(fault)) return unwanted === undefined ? err(this.describe(fault)) : ok(unwanted)
    }
  }

  private noteChoice (row: EndpointRow): void {
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
  private mayReplace (open: OpenAnswer): boolean {
    if (!retryableStatuses.has(open.answer.status) || open.answer.rest !== undefined) return false
    return this.mayRetry({ name: 'upstreamReset', outcome: Outcome.unknown })
  }

  private mayRetry (fault: AttemptFault): boolean {
    const { body, scope, route } = this.request
    if (scope.reason !== undefined || scope.leftMs <= 0 || !body.isReplayable) return false
    if (this.attempts >= route.maxAttempts + maxIdleAttempts || this.runs >= route.maxAttempts) return false
    return route.kind === WorkKind.idempotent || fault.outcome === Outcome.notRun
  }

  private findObstacle (): AttemptFault {
    const isServed = this.context.placer.hasEndpoint(this.createPlaceRequest())
    return { name: isServed ? 'noCapacity' : 'noEndpoint', outcome: Outcome.notRun }
  }

  /** The failure to answer with: one that says `not-run` only when no attempt can have run. */
  private describe (fault: AttemptFault): Failure {
    if (this.runs > 0) {
      const name = fault.name === 'upstreamTimeout' || fault.name === 'deadlineExceeded' ? fault.name : 'upstreamReset'
      return createFailure(name, { outcome: Outcome.unknown })
    }
    if (fault.name === 'upstreamTimeout' || fault.name === 'deadlineExceeded') return createFailure('deadlineExceeded')
    const name = fault.name === 'upstreamRefused' ? 'noEndpoint' : fault.name
    return createFailure(name, { retryAfterMs: this.chooseRetryAfterMs() })
  }

  /** Spread, so that callers that were refused together don't return together. */
  private chooseRetryAfterMs (): number {
    const { retryAfterLeastShare: least, retryAfterMostShare: most } = hostLimits
    return Math.round(this.request.route.objectiveMs * (least + (most - least) * this.context.random()))
  }
}
