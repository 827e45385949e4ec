import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'
import { impliesNotRun } from '../common/impliesNotRun.js'
import { Outcome } from '../common/Outcome.js'
import { AttemptResult } from '../steer/AttemptResult.js'
import type { SteerTarget } from '../steer/SteerTarget.js'
import type { AttemptContext } from './AttemptContext.js'
import type { AttemptFailure } from './AttemptFailure.js'
import type { AttemptPolicy } from './AttemptPolicy.js'
import type { EntryRequest } from './EntryRequest.js'
import { findAmbiguousStatus } from './findAmbiguousStatus.js'
import { findHeader } from './findHeader.js'
import type { OpenResponse } from './OpenResponse.js'
import { parseLoadReport } from './parseLoadReport.js'
import { readRefusal } from './readRefusal.js'
import type { UpstreamResponse } from './UpstreamResponse.js'
import type { UpstreamCall } from './UpstreamCall.js'

const shedRetryAfterMs = 1_000

/** Sends a request once to a reserved target and releases the target exactly once, when the attempt ends. */
export class Attempt {
  readonly response: Promise<Result<OpenResponse, AttemptFailure>>
  private readonly startMs: number
  private readonly call: UpstreamCall
  private isReleased = false

  constructor (
    private readonly context: AttemptContext,
    private readonly request: EntryRequest,
    readonly target: SteerTarget,
    private readonly policy: AttemptPolicy,
    private readonly excluded: ReadonlySet<string>
  ) {
    this.startMs = context.clock.nowMs()
    this.call = target.kind === 'endpoint' ? this.callEndpoint(target) : this.callHost(target)
    request.scope.addHook(this.onCancel)
    this.response = this.awaitResponse()
  }

  /** Cancels the attempt and closes its connection. */
  cancel (): void {
    this.call.cancel('cancelled')
  }

  private readonly onCancel = (): void => {
    this.call.cancel(this.request.scope.reason === 'deadline' ? 'timeout' : 'cancelled')
  }

  private async awaitResponse (): Promise<Result<OpenResponse, AttemptFailure>> {
    const reply = await this.call.response
    const failure = reply.isErr() ? this.mapForwardFailure(reply.error) : this.findFailure(reply.value)
    if (failure !== undefined) {
      this.release(failure.result)
      return err(failure)
    }
    return ok(this.createOpenResponse(reply._unsafeUnwrap()))
  }

  private createOpenResponse (answer: UpstreamResponse): OpenResponse {
    if (answer.stream === undefined) this.release(AttemptResult.ok)
    return {
      response: answer,
      reserveBytes: () => 0,
      abort: () => this.cancel(),
      finish: (result) => this.release(result)
    }
  }

  private callEndpoint (target: Extract<SteerTarget, { kind: 'endpoint' }>): UpstreamCall {
    const buildHeaders = (): string[] => this.buildHeaders()
    return this.context.endpointClient.start({
      address: target.endpoint.address,
      id: this.request.id,
      method: this.request.method,
      path: this.request.path,
      get headers () { return buildHeaders() },
      body: this.request.body,
      needsNewConnection: !this.request.idempotent,
      isMatchingResponse: this.isMatchingResponse,
      isRefusal: isEndpointRefusal,
      mayWrite: this.policy.mayWrite,
      reserveBytes: this.policy.reserveUploadBytes
    })
  }

  private callHost (target: Extract<SteerTarget, { kind: 'host' }>): UpstreamCall {
    const { request, policy, context } = this
    const buildHeaders = (): string[] => this.buildHostHeaders()
    return context.hostClient.start({
      address: `${target.host.address}:${target.host.ports.internal}`,
      method: request.method,
      path: request.path,
      get headers () { return buildHeaders() },
      body: request.body,
      needsNewConnection: !request.idempotent,
      isMatchingResponse: this.isMatchingResponse,
      mayWrite: policy.mayWrite,
      reserveBytes: (bytes) => Math.max(
        policy.reserveUploadBytes(bytes),
        context.steering.reserveLinkBytes(target.region, request.workClass, bytes)
      )
    })
  }

  /**
   * A response that repeats the request's id isn't a late copy of an earlier one on the connection. Without an id only the
   * first response on a connection is certainly not one.
   */
  private readonly isMatchingResponse = (headers: readonly string[], isReusedConnection: boolean): boolean => {
    const echoedId = findHeader(headers, 'shunt-request-id')
    return echoedId === undefined ? !isReusedConnection : echoedId === this.request.id
  }

  private buildHostHeaders (): string[] {
    const { request, policy, context } = this
    const { method, path, id } = request
    const headers = this.buildHeaders()
    headers.push('Shunt-Internal', context.auth.sign(context.host, { method, path, requestId: id }))
    const writeUntilMs = policy.writeUntilMs()
    if (writeUntilMs !== Infinity) headers.push('Shunt-Claim-Ms', String(Math.max(0, Math.floor(writeUntilMs - context.clock.nowMs()))))
    if (!request.idempotent) headers.push('Shunt-Once', '1')
    if (this.excluded.size > 0) headers.push('Shunt-Excluded', [...this.excluded].join(','))
    return headers
  }

  private buildHeaders (): string[] {
    const { headers, id, customer, scope } = this.request
    return [
      ...headers,
      'Shunt-Request-Id', id,
      'Shunt-Deadline-Ms', String(Math.max(1, Math.floor(scope.leftMs))),
      'Shunt-Customer', customer
    ]
  }

  /** Maps connection failures towards another host to the result codes of forwarding; those of endpoints are returned unchanged. */
  private mapForwardFailure (failed: AttemptFailure): AttemptFailure {
    if (this.target.kind === 'endpoint') return failed
    const { name, outcome } = failed.failure
    if (name === 'upstreamRefused') return { ...failed, failure: createFailure('forwardFailed', { outcome }) }
    if (name === 'upstreamReset' || name === 'upstreamTruncated') return { ...failed, failure: createFailure('forwardBroken', { outcome }) }
    return failed
  }

  private findFailure (response: UpstreamResponse): AttemptFailure | undefined {
    const failure = this.target.kind === 'endpoint' ? this.findEndpointFailure(response, this.target.endpoint.name) : this.findHostFailure(response)
    return failure ?? this.findAmbiguity(response)
  }

  private findAmbiguity (response: UpstreamResponse): AttemptFailure | undefined {
    const failure = findAmbiguousStatus(response.status, this.request.idempotent)
    if (failure === undefined) return undefined
    this.context.metrics.replaced(response.status, this.request.service, this.request.customer)
    if (response.stream !== undefined) this.cancel()
    return { failure, result: AttemptResult.ok }
  }

  private findEndpointFailure (response: UpstreamResponse, endpoint: string): AttemptFailure | undefined {
    const load = findHeader(response.headers, 'upstream-load')
    const report = load === undefined ? undefined : parseLoadReport(load)
    if (report !== undefined) this.context.steering.recordReport(endpoint, report, false)
    if (!isEndpointRefusal(response.status, response.headers)) return undefined
    if (response.stream !== undefined) this.cancel()
    return { failure: createFailure('upstreamShed', { retryAfterMs: shedRetryAfterMs }), result: AttemptResult.shed, endpoint }
  }

  private findHostFailure (response: UpstreamResponse): AttemptFailure | undefined {
    const refusal = readRefusal(response)
    if (refusal === undefined) return undefined
    const endpoint = findHeader(response.headers, 'shunt-endpoint')
    const result = this.classifyRefusal(refusal, endpoint)
    return endpoint === undefined ? { failure: refusal, result } : { failure: refusal, result, endpoint }
  }

  // The owner responded, so a failure of one of its endpoints does not count against the owner.
  private classifyRefusal (refusal: Failure, endpoint: string | undefined): AttemptResult {
    if (endpoint !== undefined && refusal.name !== 'upstreamShed') return AttemptResult.cancelled
    return refusal.outcome === Outcome.notRun ? AttemptResult.shed : AttemptResult.broken
  }

  private release (result: AttemptResult): void {
    if (this.isReleased) return
    this.isReleased = true
    this.request.scope.removeHook(this.onCancel)
    const elapsedMs = this.context.clock.nowMs() - this.startMs
    if (result === AttemptResult.ok) this.context.latencies.add(this.request.service, elapsedMs)
    this.target.release(result, elapsedMs)
    this.policy.leaveRegion(this.target.region)
  }
}

/** A refusal states that the request was not run; a status alone doesn't. */
function isEndpointRefusal (status: number, headers: readonly string[]): boolean {
  return impliesNotRun(status) && findHeader(headers, 'upstream-not-run') === '1'
}
