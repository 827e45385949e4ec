import type { IncomingMessage, ServerResponse } from 'node:http'
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
import type { EntryRequest } from './EntryRequest.js'
import type { EntryState } from './EntryState.js'
import { findHeader } from './findHeader.js'
import type { LookupProxy } from './LookupProxy.js'
import { parseDeadline } from './parseDeadline.js'
import { parsePath } from './parsePath.js'
import { readRequestHeaders } from './readRequestHeaders.js'
import { RequestBody } from './RequestBody.js'
import type { RequestHeaders } from './RequestHeaders.js'
import type { RequestIds } from './RequestIds.js'
import type { RequestPipeline } from './RequestPipeline.js'
import { RequestScope } from './RequestScope.js'
import { writeRefusal } from './writeRefusal.js'

/** What the handler needs. */
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

/** A request whose caller and rule are known. */
interface RoutedRequest {
  readonly contract: Contract
  readonly service: string
  readonly route: RouteSpec
  readonly headers: RequestHeaders
  readonly leftMs: number
}

/** Names for the metrics of a request, filled in as they become known. */
interface RequestNames {
  id: string
  service: string
  customer: string
  hasKey: boolean
}

const noBytes = Buffer.alloc(0)
const lookupPath = '/v1/lookup'

/** Checks callers' requests and hands them to the pipeline; every failure becomes a numbered refusal. */
export class CallerHandler {
  constructor (private readonly options: CallerHandlerOptions) {}

  handle (req: IncomingMessage, res: ServerResponse, expectation: 'none' | 'continue' | 'other'): void {
    const startMs = this.options.clock.nowMs()
    const names: RequestNames = { id: '', service: '', customer: '', hasKey: false }
    req.on('error', () => {})
    res.on('error', () => {})
    if (isLookup(req)) return this.lookUp(req, res, names)
    const routed = expectation === 'other' ? refuseExpectation() : this.route(req, names)
    if (names.id === '') names.id = this.options.ids.create()
    if (routed.isErr()) return this.refuse(req, res, names, applyKey(names, routed.error))
    if (this.options.state.refusesWork) return this.refuse(req, res, names, applyKey(names, createFailure('hostLeaving')))
    this.serve(req, res, names, routed.value, startMs).catch((error: unknown) => this.fail(req, res, names, error))
  }

  // The credential is checked here, since the lookup process sees all callers under the address of this host.
  private lookUp (req: IncomingMessage, res: ServerResponse, names: RequestNames): void {
    const { ids, state, authenticator, lookup } = this.options
    names.id = ids.create()
    const contract = state.config === undefined ? err(createFailure('notReady')) : authenticator.check(req, req.headers.authorization)
    if (contract.isErr()) return this.refuse(req, res, names, contract.error)
    names.customer = contract.value.customer
    lookup.pass(req, res, names.id)
      .then((result) => { if (result.isErr()) this.refuse(req, res, names, result.error) })
      .catch((error: unknown) => this.fail(req, res, names, error))
  }

  private async serve (req: IncomingMessage, res: ServerResponse, names: RequestNames, routed: RoutedRequest, startMs: number): Promise<void> {
    const { clock, pipeline, metrics, logger } = this.options
    const scope = new RequestScope(clock, startMs + routed.leftMs)
    res.once('close', () => {
      if (res.writableFinished) metrics.completed(names.service, names.customer, clock.nowMs() - startMs)
      else scope.cancel('caller')
      scope.close()
    })
    // A caller that does not read its answer must not hold its permit beyond the deadline.
    scope.addHook(() => { if (res.writableEnded) res.destroy() })
    const request = createRequest(req, names.id, routed, scope)
    const { route, headers } = routed
    const result = await pipeline.run({ request, req, res, maxBodyBytes: route.maxBodyBytes, expectsContinue: headers.expectsContinue })
    if (scope.reason === 'caller') return
    if (result.isErr()) this.refuse(req, res, names, result.error)
    else logger.debug('request-answered', { id: names.id, service: names.service, customer: names.customer, status: res.statusCode })
  }

  private route (req: IncomingMessage, names: RequestNames): Result<RoutedRequest, Failure> {
    const { state, authenticator, ids } = this.options
    const read = readRequestHeaders(req)
    if (read.isErr()) {
      names.hasKey = read.error.name !== 'badIdempotencyKey' && findHeader(req.rawHeaders, 'idempotency-key') !== undefined
      return err(read.error)
    }
    const headers = read.value
    names.id = ids.accept(headers.shunt.get('shunt-request-id'))
    names.hasKey = headers.idempotencyKey !== undefined
    const path = parsePath(req.url ?? '')
    if (path.isErr()) return err(path.error)
    if (state.routes === undefined) return err(createFailure('notReady'))
    const contract = authenticator.check(req, headers.authorization)
    if (contract.isErr()) return err(contract.error)
    names.customer = contract.value.customer
    const service = state.routes.findService(path.value.first)
    const route = state.routes.findRoute(path.value.first, path.value.rest, req.method!)
    if (service === undefined || route === undefined) return err(createFailure('unknownService'))
    names.service = service.name
    if (!contract.value.services.includes(service.name)) return err(createFailure('serviceNotInContract'))
    const leftMs = parseDeadline(headers.shunt.get('shunt-deadline-ms'), route.defaultDeadlineMs)
    if (leftMs.isErr()) return err(leftMs.error)
    if ((headers.contentLength ?? 0) > route.maxBodyBytes) return err(createFailure('bodyTooLarge'))
    return ok({ contract: contract.value, service: service.name, route, headers, leftMs: leftMs.value })
  }

  private refuse (req: IncomingMessage, res: ServerResponse, names: RequestNames, failure: Failure): void {
    const { metrics, logger, state } = this.options
    metrics.refused(failure.name, names.service, names.customer)
    logger.debug('request-refused', { id: names.id, reason: failure.name, outcome: failure.outcome, service: names.service, customer: names.customer })
    const close = state.isLeaving || failure.name === 'requestTimeout' || failure.name === 'credentialThrottled'
    writeRefusal(req, res, failure, { requestId: names.id, close, headers: state.isLeaving ? ['Shunt-Leaving', '1'] : [] })
  }

  private fail (req: IncomingMessage, res: ServerResponse, names: RequestNames, error: unknown): void {
    this.options.logger.error('request-failed', { id: names.id, error: error instanceof Error ? error.stack ?? error.message : String(error) })
    this.refuse(req, res, names, createFailure('internal', { outcome: Outcome.unknown }))
  }
}

function isLookup (req: IncomingMessage): boolean {
  return req.method === 'GET' && req.url !== undefined && req.url.startsWith(lookupPath) &&
    (req.url.length === lookupPath.length || req.url[lookupPath.length] === '?')
}

// Without a claim nothing is known about earlier requests with the same key.
function applyKey (names: RequestNames, failure: Failure): Failure {
  return names.hasKey ? { ...failure, outcome: Outcome.unknown } : failure
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
    headers: headers.passed,
    scope,
    body: new RequestBody(noBytes, headers.contentLength, undefined, route.maxBodyBytes)
  }
}
