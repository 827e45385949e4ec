import type { IncomingMessage } from 'node:http'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'
import type { Logger } from '../common/Logger.js'
import { Outcome } from '../common/Outcome.js'
import type { RouteSpec } from '../model/RouteSpec.js'
import { ResponseWriter } from './ResponseWriter.js'
import type { AttemptContext } from './AttemptContext.js'
import { AttemptLoop } from './AttemptLoop.js'
import type { AttemptPolicy } from './AttemptPolicy.js'
import { checkWritten } from './checkWritten.js'
import { closeUntaken } from './closeUntaken.js'
import type { EntryRequest } from './EntryRequest.js'
import { entryLimits } from './entryLimits.js'
import type { EntryState } from './EntryState.js'
import { parseDeadline } from './parseDeadline.js'
import { parsePath } from './parsePath.js'
import type { PipelinedResponse } from './PipelinedResponse.js'
import { readRequestBody } from './readRequestBody.js'
import { readRequestHeaders } from './readRequestHeaders.js'
import { RequestBody } from './RequestBody.js'
import type { RequestHeaders } from './RequestHeaders.js'
import { RequestScope } from './RequestScope.js'
import { writeRefusal } from './writeRefusal.js'

/** Dependencies of the handler. */
interface InternalHandlerOptions {
  readonly context: AttemptContext
  readonly state: EntryState
  readonly logger: Logger
}

/** A forwarded request with a valid signature under the cluster key. */
interface ForwardedRequest {
  readonly sender: string
  readonly route: RouteSpec
  readonly service: string
  readonly headers: RequestHeaders
  readonly remainingMs: number
  /** Monotonic time in ms after which the sender's claim must not be used. */
  readonly writeUntilMs: number
}

const noBytes = Buffer.alloc(0)

/** Serves requests that other hosts forward to endpoints of this host. The host that received a request has already admitted it. */
export class InternalHandler {
  constructor (private readonly options: InternalHandlerOptions) {}

  handle (req: IncomingMessage, res: PipelinedResponse): void {
    req.on('error', () => {})
    res.on('error', () => {})
    const forwarded = this.validate(req)
    if (forwarded.isErr()) return this.refuse(req, res, '', this.options.state.denials.check(forwarded.error), undefined)
    this.serve(req, res, forwarded.value).catch((error: unknown) => {
      this.options.logger.error('forwarded-request-failed', { error: error instanceof Error ? error.stack ?? error.message : String(error) })
      this.refuse(req, res, '', createFailure('internal', { outcome: Outcome.unknown }), undefined)
    })
  }

  private validate (req: IncomingMessage): Result<ForwardedRequest, Failure> {
    const { context, state } = this.options
    const read = readRequestHeaders(req)
    if (read.isErr()) return err(read.error)
    const { shunt } = read.value
    const signedFields = { method: req.method!, path: req.url!, requestId: shunt.get('shunt-request-id') ?? '' }
    const sender = context.auth.verify(shunt.get('shunt-internal'), signedFields)
    if (sender === undefined) return err(createFailure('frameAuth', { message: 'The request is not signed by an entry host.' }))
    const path = parsePath(req.url!)
    if (path.isErr()) return err(path.error)
    const service = state.routes?.findService(path.value.servicePath)
    const route = state.routes?.findRoute(path.value.servicePath, path.value.subpath, req.method!)
    if (service === undefined || route === undefined) return err(createFailure('unknownService'))
    const remainingMs = parseDeadline(shunt.get('shunt-deadline-ms'), route.defaultDeadlineMs)
    if (remainingMs.isErr()) return err(remainingMs.error)
    // The request may have been delayed on its way, or may have waited in the socket while this process was paused.
    const delayMs = Math.max(0, sender.ageMs - entryLimits.maxClockDifferenceMs)
    const writeUntilMs = context.clock.nowMs() + Number(shunt.get('shunt-claim-ms') ?? Infinity) - delayMs
    return ok({ sender: sender.host, route, service: service.name, headers: read.value, remainingMs: remainingMs.value, writeUntilMs })
  }

  private async serve (req: IncomingMessage, res: PipelinedResponse, forwarded: ForwardedRequest): Promise<void> {
    const { context } = this.options
    const { headers, remainingMs } = forwarded
    const scope = new RequestScope(context.clock, context.clock.nowMs() + remainingMs)
    res.once('close', () => {
      if (!res.writableFinished) scope.cancel('caller')
      scope.close()
    })
    scope.addHook(() => closeUntaken(res))
    const request = this.createRequest(req, forwarded, scope)
    const attemptedEndpoints: string[] = []
    const result = await this.attempt(req, res, request, forwarded, attemptedEndpoints)
    if (result.isErr()) this.refuse(req, res, headers.shunt.get('shunt-request-id') ?? '', result.error, attemptedEndpoints[0])
  }

  private async attempt (
    req: IncomingMessage, res: PipelinedResponse, request: EntryRequest, forwarded: ForwardedRequest, attemptedEndpoints: string[]
  ): Promise<Result<void, Failure>> {
    const body = await readRequestBody(req, { length: request.body.length, maxBytes: forwarded.route.maxBodyBytes, scope: request.scope, sendContinue: () => {} })
    if (body.isErr()) return err(body.error)
    request.body = body.value
    const answered = await new AttemptLoop(this.options.context, request, this.createPolicy(request, forwarded, attemptedEndpoints)).run()
    if (answered.isErr()) return err(answered.error)
    const region = this.findRegion(forwarded.sender)
    const { steering } = this.options.context
    await new ResponseWriter(res, answered.value, {
      headers: ['Shunt-Request-Id', request.id, ...this.options.state.responseHeaders],
      isHead: request.method === 'HEAD',
      reserveBytes: region === undefined ? undefined : (bytes) => steering.reserveLinkBytes(region, request.workClass, bytes)
    }).write()
    return checkWritten(res, request.scope)
  }

  private createPolicy (request: EntryRequest, forwarded: ForwardedRequest, attemptedEndpoints: string[]): AttemptPolicy {
    const { steering, clock } = this.options.context
    const { writeUntilMs } = forwarded
    const excluded = (forwarded.headers.shunt.get('shunt-excluded') ?? '').split(',')
    return {
      choose: async (steerRequest) => {
        const target = await steering.chooseOwned(steerRequest)
        if (target.isOk() && target.value.kind === 'endpoint') attemptedEndpoints.push(target.value.endpoint.name)
        return target
      },
      allowsRegion: () => true,
      enterRegion: () => true,
      leaveRegion: () => {},
      prepareAttempt: undefined,
      mayWrite: () => clock.nowMs() < writeUntilMs && request.scope.reason === undefined,
      writeUntilMs: () => writeUntilMs,
      waitUntilMs: Math.min(request.scope.deadlineAtMs, writeUntilMs),
      takeRetry: () => false,
      reserveUploadBytes: () => 0,
      excluded: new Set(excluded),
      // The sender decides on retries, since it holds the retry budget of the customer.
      maxAttempts: 1,
      mayHedge: false
    }
  }

  private createRequest (req: IncomingMessage, forwarded: ForwardedRequest, scope: RequestScope): EntryRequest {
    const { route, service, headers } = forwarded
    const customer = headers.shunt.get('shunt-customer') ?? ''
    const contract = this.options.state.config?.contracts.find((candidate) => candidate.customer === customer)
    return {
      id: headers.shunt.get('shunt-request-id') ?? '',
      customer,
      priority: contract?.priority ?? 1,
      moveStep: contract?.moveStep ?? 0,
      service,
      workClass: route.workClass,
      // The header of the sender takes precedence if the two hosts have different versions of the route.
      idempotent: route.idempotent && headers.shunt.get('shunt-once') !== '1',
      method: req.method!,
      path: req.url!,
      key: headers.idempotencyKey,
      headers: headers.forwarded,
      scope,
      body: new RequestBody(noBytes, headers.contentLength, undefined, route.maxBodyBytes)
    }
  }

  private findRegion (host: string): string | undefined {
    const doc = this.options.state.config
    const zone = doc?.hosts.find((candidate) => candidate.name === host)?.zone
    return doc?.zones.find((candidate) => candidate.name === zone)?.region
  }

  private refuse (req: IncomingMessage, res: PipelinedResponse, requestId: string, failure: Failure, endpoint: string | undefined): void {
    const headers = endpoint === undefined ? [] : ['Shunt-Endpoint', endpoint]
    writeRefusal(req, res, failure, { requestId, close: false, headers })
  }
}
