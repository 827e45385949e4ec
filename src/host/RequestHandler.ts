import type { IncomingMessage } from 'node:http'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'
import { formatException } from '../common/formatException.js'
import { Outcome } from '../common/Outcome.js'
import { checkWritten } from '../entry/checkWritten.js'
import { ResponseWriter } from '../entry/ResponseWriter.js'
import type { OpenResponse } from '../entry/OpenResponse.js'
import type { PipelinedResponse } from '../entry/PipelinedResponse.js'
import { findHeader } from '../entry/findHeader.js'
import { readRequestBody } from '../entry/readRequestBody.js'
import { RequestScope } from '../entry/RequestScope.js'
import { writeRefusal } from '../entry/writeRefusal.js'
import { hashObject } from '../placing/hashObject.js'
import type { Route } from '../routing/Route.js'
import { AttemptSeries } from './AttemptSeries.js'
import { copyRequestHeaders } from './copyRequestHeaders.js'
import type { HostContext } from './HostContext.js'
import type { HttpBinding } from './HttpBinding.js'
import { hostLimits } from './hostLimits.js'
import type { ServedRequest } from './ServedRequest.js'

/** A caller's request while it is being served. */
interface Exchange {
  readonly req: IncomingMessage
  readonly res: PipelinedResponse
  readonly id: string
  readonly startMs: number
}

/** Separator bytes after each header name (colon and space) and each header value (line break). */
const separatorBytes = 2

/** Serves callers' requests. Every failure becomes a refusal with a result code. */
export class RequestHandler {
  constructor (private readonly context: HostContext) {}

  handle (req: IncomingMessage, res: PipelinedResponse): void {
    const exchange = { req, res, id: this.context.httpBinding.readRequestId(req.rawHeaders), startMs: res.arrivedAtMs }
    this.serve(exchange).catch((error: unknown) => this.failInternally(exchange, error))
  }

  /** Answers a request that an exception ended, so that the other requests of its connection go on. */
  private failInternally (exchange: Exchange, error: unknown): void {
    this.context.log.write('request-failed', { id: exchange.id, error: formatException(error) })
    this.refuse(exchange, createFailure('internal', { outcome: Outcome.unknown }), '')
  }

  private async serve (exchange: Exchange): Promise<void> {
    const route = this.findRoute(exchange.req)
    if (route.isErr()) return this.refuse(exchange, route.error, '', this.context.describeConfigAge())
    const scope = this.openScope(exchange, route.value)
    try {
      await this.serveRoute(exchange, route.value, scope)
    } finally {
      scope.close()
    }
  }

  private findRoute (req: IncomingMessage): Result<Route, Failure> {
    const { routing } = this.context
    if (routing.config === undefined || !this.context.isSynced()) return err(createFailure('notReady', { retryAfterMs: hostLimits.notReadyRetryMs }))
    if (countHeaderBytes(req) > routing.config.limits.headerBytes) return err(createFailure('headersTooLarge'))
    const host = (req.headers.host ?? '').toLowerCase()
    const path = (req.url ?? '').split('?', 1)[0]!
    const route = routing.find(host, path)
    return route === undefined ? err(createFailure('unknownService')) : ok(route)
  }

  private openScope ({ req, res, startMs }: Exchange, route: Route): RequestScope {
    const { httpBinding, clock } = this.context
    const timeoutMs = Math.min(httpBinding.readDeadlineMs(req.rawHeaders) ?? hostLimits.defaultDeadlineMs, route.timeoutMs)
    const scope = new RequestScope(clock, startMs + timeoutMs)
    res.once('close', () => { if (!res.writableFinished) scope.cancel('caller') })
    return scope
  }

  private async serveRoute (exchange: Exchange, route: Route, scope: RequestScope): Promise<void> {
    // A body that is still to arrive needn't be awaited.
    if (!this.context.mayPassOn(scope.leftMs)) return this.refuse(exchange, createFailure('hostLeaving', { retryAfterMs: hostLimits.leavingRetryMs }), route.name)
    const request = await this.readRequest(exchange, route, scope)
    if (request.isErr()) return this.refuse(exchange, request.error, route.name)
    const series = new AttemptSeries(this.context, request.value)
    const result = await series.run()
    if (scope.reason === 'caller') {
      if (result.isOk()) result.value.abort()
      this.log(exchange, 'caller-left', { route: route.name, ...series.describeDecision() })
      return
    }
    const fields = { route: route.name, ...series.describeDecision() }
    if (result.isErr()) return this.refuse(exchange, result.error, route.name, fields)
    await this.answer(exchange, request.value, result.value, fields)
  }

  private async readRequest ({ req, id }: Exchange, route: Route, scope: RequestScope): Promise<Result<ServedRequest, Failure>> {
    const { httpBinding, routing, picker } = this.context
    const limits = routing.config?.limits
    const contentLength = findHeader(req.rawHeaders, 'content-length')
    const isChunked = findHeader(req.rawHeaders, 'transfer-encoding') !== undefined
    const body = await readRequestBody(req, {
      length: isChunked ? undefined : Number(contentLength ?? 0),
      maxBytes: limits?.bodyBytes ?? hostLimits.maxBodyBytes,
      maxBufferedBytes: hostLimits.maxHeldBytes,
      scope,
      sendContinue: () => {}
    })
    return body.map((value) => ({
      id,
      method: req.method ?? 'GET',
      path: req.url ?? '/',
      hostHeader: req.headers.host ?? '',
      headers: copyRequestHeaders(req.rawHeaders, httpBinding.perAttemptHeaders),
      body: value,
      route,
      service: picker.pick(route),
      object: route.hasAffinity ? readObject(httpBinding, req.rawHeaders) : undefined,
      scope
    }))
  }

  private async answer (exchange: Exchange, request: ServedRequest, open: OpenResponse, fields: Record<string, string | number>): Promise<void> {
    const { req, res, startMs } = exchange
    const { status } = open.response
    const isComplete = await new ResponseWriter(res, open, { headers: [], isHead: req.method === 'HEAD' }).write()
    const written = checkWritten(res, request.scope)
    if (written.isErr()) return this.refuse(exchange, written.error, request.route.name, fields)
    const elapsedMs = Math.round(this.context.clock.nowMs() - startMs)
    this.context.metrics.recordCompletion(request.service, status, elapsedMs)
    this.log(exchange, 'answered', { ...fields, status, whole: isComplete })
  }

  private refuse (exchange: Exchange, reason: Failure, route: string, fields: Record<string, string | number> = {}): void {
    const { req, res, id } = exchange
    const failure = this.context.denials.check(reason)
    this.context.metrics.recordRefusal(failure.name, route)
    this.log(exchange, 'refused', {
      route,
      ...fields,
      code: failure.name,
      outcome: failure.outcome,
      reason: failure.message,
      retryAfterMs: failure.retryAfterMs
    })
    writeRefusal(req, res, failure, {
      requestId: id,
      close: false,
      headers: [],
      formatRetryAfter: (ms) => this.context.httpBinding.formatRetryAfter(ms)
    })
  }

  private log (exchange: Exchange, event: string, fields: Record<string, string | number | boolean | undefined>): void {
    const { clock, log, routing } = this.context
    log.write(event, { id: exchange.id, ...fields, ms: Math.round(clock.nowMs() - exchange.startMs), config: routing.config?.version })
  }
}

/** Returns the name of the object that a request concerns. */
function readObject (binding: HttpBinding, headers: readonly string[]): string | undefined {
  const affinityKey = binding.readObject(headers)
  return affinityKey === undefined ? undefined : hashObject(affinityKey)
}

/** Counts the bytes of the request's header lines. */
function countHeaderBytes (req: IncomingMessage): number {
  let bytes = 0
  for (const text of req.rawHeaders) bytes += text.length + separatorBytes
  return bytes
}
