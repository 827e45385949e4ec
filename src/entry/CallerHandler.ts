import type { IncomingMessage } from 'node:http'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Clock } from '../common/Clock.js'
import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'
import type { Logger } from '../common/Logger.js'
import { Outcome } from '../common/Outcome.js'
import type { RequestMetrics } from '../metrics/RequestMetrics.js'
import type { Contract } from '../model/Contract.js'
import type { RouteSpec } from '../model/RouteSpec.js'
import type { Authenticator } from './Authenticator.js'
import { closeUntaken } from './closeUntaken.js'
import type { EntryRequest } from './EntryRequest.js'
import type { EntryState } from './EntryState.js'
import { findHeader } from './findHeader.js'
import type { LookupProxy } from './LookupProxy.js'
import { parseDeadline } from './parseDeadline.js'
import { parsePath } from './parsePath.js'
import type { PipelinedResponse } from './PipelinedResponse.js'
import { readRequestHeaders } from './readRequestHeaders.js'
import { RequestBody } from './RequestBody.js'
import type { RequestHeaders } from './RequestHeaders.js'
import type { RequestIds } from './RequestIds.js'
import type { RequestPipeline } from './RequestPipeline.js'
import { RequestScope } from './RequestScope.js'
import { writeRefusal } from './writeRefusal.js'

/** Dependencies of the handler. */
interface CallerHandlerOptions {
  readonly clock: Clock
  readonly state: EntryState
  readonly authenticator: Authenticator
  readonly pipeline: RequestPipeline
  readonly lookup: LookupProxy
  readonly ids: RequestIds
  readonly metrics: RequestMetrics
  readonly logger: Logger
}

/** A request whose contract and route have been determined. */
interface RoutedRequest {
  readonly contract: Contract
  readonly service: string
  readonly route: RouteSpec
  readonly headers: RequestHeaders
  readonly remainingMs: number
}

/** Labels for the metrics and log lines of a request; filled in while the request is checked. */
interface RequestLabels {
  id: string
  service: string
  customer: string
  hasKey: boolean
}

const noBytes = Buffer.alloc(0)
const lookupPath = '/v1/lookup'

/** Validates requests of callers and passes them to the pipeline; each failure is sent as a refusal with a result code. */
export class CallerHandler {
  constructor (private readonly options: CallerHandlerOptions) {}

  handle (req: IncomingMessage, res: PipelinedResponse, expectation: 'none' | 'continue' | 'other'): void {
    const labels: RequestLabels = { id: '', service: '', customer: '', hasKey: false }
    req.on('error', () => {})
    res.on('error', () => {})
    if (isLookup(req)) return this.forwardLookup(req, res, labels)
    const routed = expectation === 'other' ? refuseExpectation() : this.route(req, labels)
    if (labels.id === '') labels.id = this.options.ids.create()
    if (routed.isErr()) return this.refuse(req, res, labels, applyKeyOutcome(labels, this.options.state.denials.check(routed.error)))
    if (this.options.state.refusesRequests) return this.refuse(req, res, labels, applyKeyOutcome(labels, createFailure('hostLeaving')))
    this.serve(req, res, labels, routed.value).catch((error: unknown) => this.handleError(req, res, labels, error))
  }

  // The credential is checked here, since the lookup process sees the address of this host for all callers.
  private forwardLookup (req: IncomingMessage, res: PipelinedResponse, labels: RequestLabels): void {
    const { ids, state, authenticator, lookup } = this.options
    labels.id = ids.create()
    const contract = state.config === undefined ? err(createFailure('notReady')) : authenticator.check(req, req.headers.authorization)
    if (contract.isErr()) return this.refuse(req, res, labels, state.denials.check(contract.error))
    labels.customer = contract.value.customer
    lookup.forward(req, res, labels.id)
      .then((result) => { if (result.isErr()) this.refuse(req, res, labels, result.error) })
      .catch((error: unknown) => this.handleError(req, res, labels, error))
  }

  private async serve (req: IncomingMessage, res: PipelinedResponse, labels: RequestLabels, routed: RoutedRequest): Promise<void> {
    const { clock, pipeline, metrics, logger } = this.options
    const scope = new RequestScope(clock, res.arrivedAtMs + routed.remainingMs)
    res.once('close', () => {
      if (res.writableFinished) metrics.completed(labels.service, labels.customer, clock.nowMs() - res.arrivedAtMs)
      else scope.cancel('caller')
      scope.close()
    })
    // A caller that does not read the response must not hold its permit beyond the deadline.
    scope.addHook(() => closeUntaken(res))
    const request = createRequest(req, labels.id, routed, scope)
    const { route, headers } = routed
    const result = await pipeline.run({ request, req, res, maxBodyBytes: route.maxBodyBytes, expectsContinue: headers.expectsContinue })
    if (scope.reason === 'caller') return
    if (result.isErr()) this.refuse(req, res, labels, result.error)
    else logger.debug('request-answered', { id: labels.id, service: labels.service, customer: labels.customer, status: res.statusCode })
  }

  private route (req: IncomingMessage, labels: RequestLabels): Result<RoutedRequest, Failure> {
    const { state, authenticator, ids } = this.options
    const read = readRequestHeaders(req)
    if (read.isErr()) {
      labels.hasKey = read.error.name !== 'badIdempotencyKey' && findHeader(req.rawHeaders, 'idempotency-key') !== undefined
      return err(read.error)
    }
    const headers = read.value
    labels.id = ids.accept(headers.shunt.get('shunt-request-id'))
    labels.hasKey = headers.idempotencyKey !== undefined
    const path = parsePath(req.url ?? '')
    if (path.isErr()) return err(path.error)
    if (state.routes === undefined) return err(createFailure('notReady'))
    const contract = authenticator.check(req, headers.authorization)
    if (contract.isErr()) return err(contract.error)
    labels.customer = contract.value.customer
    const service = state.routes.findService(path.value.servicePath)
    const route = state.routes.findRoute(path.value.servicePath, path.value.subpath, req.method!)
    if (service === undefined || route === undefined) return err(createFailure('unknownService'))
    labels.service = service.name
    if (!contract.value.services.includes(service.name)) return err(createFailure('serviceNotInContract'))
    const remainingMs = parseDeadline(headers.shunt.get('shunt-deadline-ms'), route.defaultDeadlineMs)
    if (remainingMs.isErr()) return err(remainingMs.error)
    if ((headers.contentLength ?? 0) > route.maxBodyBytes) return err(createFailure('bodyTooLarge'))
    return ok({ contract: contract.value, service: service.name, route, headers, remainingMs: remainingMs.value })
  }

  private refuse (req: IncomingMessage, res: PipelinedResponse, labels: RequestLabels, failure: Failure): void {
    const { metrics, logger, state } = this.options
    metrics.refused(failure.name, labels.service, labels.customer)
    logger.debug('request-refused', { id: labels.id, reason: failure.name, outcome: failure.outcome, message: failure.message, service: labels.service, customer: labels.customer })
    const close = failure.name === 'requestTimeout' || failure.name === 'credentialThrottled'
    writeRefusal(req, res, failure, { requestId: labels.id, close, headers: state.isLeaving ? ['Shunt-Leaving', '1'] : [] })
  }

  private handleError (req: IncomingMessage, res: PipelinedResponse, labels: RequestLabels, error: unknown): void {
    this.options.logger.error('request-failed', { id: labels.id, error: error instanceof Error ? error.stack ?? error.message : String(error) })
    this.refuse(req, res, labels, createFailure('internal', { outcome: Outcome.unknown }))
  }
}

function isLookup (req: IncomingMessage): boolean {
  return req.method === 'GET' && req.url !== undefined && req.url.startsWith(lookupPath) &&
    (req.url.length === lookupPath.length || req.url[lookupPath.length] === '?')
}

// Without a claim an earlier request with the same key may have run, so the outcome is unknown.
function applyKeyOutcome (labels: RequestLabels, failure: Failure): Failure {
  return labels.hasKey ? { ...failure, outcome: Outcome.unknown } : failure
}

function refuseExpectation (): Result<never, Failure> {
  return err(createFailure('badRequest', { message: 'only the expectation "100-continue" is supported' }))
}

function createRequest (req: IncomingMessage, id: string, routed: RoutedRequest, scope: RequestScope): EntryRequest {
  const { contract, service, route, headers } = routed
  return {
    id,
    customer: contract.customer,
    priority: contract.priority,
    moveStep: contract.moveStep,
    service,
    workClass: route.workClass,
    idempotent: route.idempotent,
    method: req.method!,
    path: req.url!,
    key: headers.idempotencyKey,
    headers: headers.forwarded,
    scope,
    body: new RequestBody(noBytes, headers.contentLength, undefined, route.maxBodyBytes)
  }
}
