import type { EndpointRow } from '../endpoints/EndpointRow.js'
import { estimateLoad } from '../endpoints/estimateLoad.js'
import { recordAttempt } from '../endpoints/recordAttempt.js'
import { recordLoadReport } from '../endpoints/recordLoadReport.js'
import type { Failure } from '../common/Failure.js'
import { Outcome } from '../common/Outcome.js'
import type { ResultName } from '../common/ResultName.js'
import { findAmbiguousStatus } from '../entry/findAmbiguousStatus.js'
import type { OpenResponse } from '../entry/OpenResponse.js'
import type { UpstreamResponse } from '../entry/UpstreamResponse.js'
import type { UpstreamCall } from '../entry/UpstreamCall.js'
import { AttemptResult } from '../steer/AttemptResult.js'
import { RequestKind } from '../routing/RequestKind.js'
import type { HostContext } from './HostContext.js'
import type { ServedRequest } from './ServedRequest.js'

/** Result of an attempt. */
type AttemptEnd =
  | { readonly kind: 'answer', readonly open: OpenResponse }
  | {
    readonly kind: 'failure'
    readonly name: ResultName
    readonly outcome: Outcome
    /** Status of the endpoint's response when the failure replaces it. */
    readonly replacedStatus?: number
  }

const firstErrorStatus = 500
/** Results after which the endpoint probably keeps nothing of the request's object. */
const notHandledResults: ReadonlySet<AttemptResult> = new Set([AttemptResult.shed, AttemptResult.refused, AttemptResult.broken])

/** Makes one attempt at one endpoint. The attempt counts as in flight there until it ends. */
export class EndpointAttempt {
  readonly end: Promise<AttemptEnd>
  private readonly startMs: number
  private readonly loadAtStart: number
  private readonly call: UpstreamCall
  /** The endpoint had handled the object of the request recently. */
  private readonly isKnown: boolean
  private isReleased = false

  constructor (
    private readonly context: HostContext,
    private readonly request: ServedRequest,
    private readonly row: EndpointRow
  ) {
    this.startMs = context.clock.nowMs()
    row.inFlight += 1
    this.loadAtStart = estimateLoad(row, this.startMs)
    this.isKnown = context.endpointSelector.hasRecentlyHandled(row, request, this.startMs)
    context.endpointSelector.recordVisit(row, request, this.startMs)
    this.call = this.startCall()
    request.scope.addHook(this.onCancel)
    this.end = this.complete()
  }

  /** Connection of the attempt and its place there. */
  get connection (): string {
    return this.call.connection
  }

  private startCall (): UpstreamCall {
    const { request, row, context } = this
    return context.client.start({
      address: row.record.address,
      id: request.id,
      method: request.method,
      path: request.path,
      hostHeader: request.hostHeader,
      get headers () { return [...request.headers, ...context.httpBinding.createHeaders(row.record.id, request.scope.leftMs)] },
      body: request.body,
      needsNewConnection: this.needsFreshConnection(),
      isMatchingResponse: (headers, isReusedConnection) => context.httpBinding.isAnswerTo(request.id, headers, isReusedConnection),
      isRefusal: (status, headers) => context.httpBinding.isRefusal(status, headers),
      // After a pause of the process the deadline may have passed although its timer has not fired yet.
      mayWrite: () => request.scope.reason === undefined && request.scope.leftMs > 0,
      reserveBytes: () => 0
    })
  }

  /**
   * Returns true when a non-idempotent request needs a new connection. Only there is it certain whether the request was sent
   * before a failure, and no late answer to an earlier request can arrive. To other regions a new connection costs an extra
   * round trip, so there one is used only after a broken answer.
   */
  private needsFreshConnection (): boolean {
    const { request, row, context } = this
    if (request.route.kind === RequestKind.idempotent) return false
    return row.region === context.region || row.dedicatedConnectionsUntilMs > this.startMs
  }

  private readonly onCancel = (): void => {
    this.call.cancel(this.request.scope.reason === 'deadline' ? 'timeout' : 'cancelled')
  }

  private async complete (): Promise<AttemptEnd> {
    const reply = await this.call.response
    if (reply.isErr()) {
      const { failure, result, exception } = reply.error
      this.release(result)
      if (exception !== undefined) this.logException(exception)
      return { kind: 'failure', name: failure.name === 'claimExpired' ? 'deadlineExceeded' : failure.name, outcome: failure.outcome }
    }
    return this.inspect(reply.value)
  }

  private logException (exception: string): void {
    const { context, request, row } = this
    context.log.write('attempt-failed', { id: request.id, endpoint: row.record.id, error: exception })
  }

  private inspect (answer: UpstreamResponse): AttemptEnd {
    const { context, row } = this
    const metadata = context.httpBinding.readAnswerMetadata(answer.status, answer.headers)
    if (!metadata.isMisdirected) context.notices.record(row, metadata.notice)
    if (metadata.isNotExecuted) {
      this.release(AttemptResult.shed)
      if (answer.stream !== undefined) this.call.cancel('cancelled')
      if (metadata.isMisdirected) row.isSuspect = true
      return { kind: 'failure', name: 'upstreamShed', outcome: Outcome.notRun }
    }
    const result = answer.status >= firstErrorStatus ? AttemptResult.broken : AttemptResult.ok
    if (metadata.notice.load !== undefined) recordLoadReport(row, metadata.notice.load, context.clock.nowMs())
    const ambiguity = findAmbiguousStatus(answer.status, this.request.route.kind === RequestKind.idempotent)
    if (answer.stream === undefined || ambiguity !== undefined) this.release(result)
    if (ambiguity !== undefined) return this.replace(answer, ambiguity)
    return { kind: 'answer', open: this.open(answer) }
  }

  private replace ({ status, stream }: UpstreamResponse, { name, outcome }: Failure): AttemptEnd {
    this.context.metrics.recordReplacedResponse(this.request.service, status)
    // A new connection costs less than the rest of a body that is too long to be held.
    if (stream !== undefined) this.call.cancel('cancelled')
    return { kind: 'failure', name, outcome, replacedStatus: status }
  }

  private open (answer: UpstreamResponse): OpenResponse {
    return {
      response: answer,
      reserveBytes: () => 0,
      abort: () => this.call.cancel('cancelled'),
      finish: (result) => this.release(result)
    }
  }

  private release (result: AttemptResult): void {
    if (this.isReleased) return
    this.isReleased = true
    this.request.scope.removeHook(this.onCancel)
    this.row.inFlight -= 1
    const nowMs = this.context.clock.nowMs()
    recordAttempt(this.row, { result, elapsedMs: nowMs - this.startMs, loadAtStart: this.loadAtStart }, nowMs)
    this.recordOutcome(result, nowMs)
  }

  private recordOutcome (result: AttemptResult, nowMs: number): void {
    const { context: { endpointSelector }, request, row, loadAtStart } = this
    if (notHandledResults.has(result)) endpointSelector.forgetVisit(row, request)
    if (result !== AttemptResult.ok) return
    endpointSelector.recordVisit(row, request, nowMs)
    if (loadAtStart <= row.record.slots) endpointSelector.recordDuration(row, request, this.isKnown, nowMs - this.startMs)
  }
}
