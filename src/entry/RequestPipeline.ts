import type { IncomingMessage } from 'node:http'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Claims } from '../claim/Claims.js'
import type { StoredAnswer } from '../claim/StoredAnswer.js'
import type { Failure } from '../common/Failure.js'
import { WorkClass } from '../model/WorkClass.js'
import type { AdmissionController } from '../share/AdmissionController.js'
import type { Permit } from '../share/Permit.js'
import { ResponseWriter } from './ResponseWriter.js'
import type { AttemptContext } from './AttemptContext.js'
import { AttemptLoop } from './AttemptLoop.js'
import type { AttemptPolicy } from './AttemptPolicy.js'
import { checkWritten } from './checkWritten.js'
import { RequestClaim } from './RequestClaim.js'
import type { EntryRequest } from './EntryRequest.js'
import { entryLimits } from './entryLimits.js'
import type { OpenResponse } from './OpenResponse.js'
import type { PipelinedResponse } from './PipelinedResponse.js'
import { readRequestBody } from './readRequestBody.js'

/** Dependencies of the pipeline. */
interface PipelineOptions {
  readonly context: AttemptContext
  readonly admission: AdmissionController
  readonly claims: Claims
  /** Returns the headers to add to each response in the current state, names and values in turn. */
  readonly createStateHeaders: () => readonly string[]
}

/** A request with the request and response objects of the caller's connection. */
interface CallerExchange {
  readonly request: EntryRequest
  readonly req: IncomingMessage
  readonly res: PipelinedResponse
  readonly maxBodyBytes: number
  readonly expectsContinue: boolean
}

const noExclusions: ReadonlySet<string> = new Set()
/** Part in ms of a claim's validity that is reserved for the time between getting a slot and writing the request. */
const claimMarginMs = 300

/** Processes a validated request of a caller: admission, body, claim, attempts, response. */
export class RequestPipeline {
  constructor (private readonly options: PipelineOptions) {}

  /** Writes the response, or returns the failure with which the request must be refused. */
  async run (exchange: CallerExchange): Promise<Result<void, Failure>> {
    const { request, res } = exchange
    const claim = new RequestClaim(this.options.claims, this.options.context.clock, request)
    const body = mayReadEarly(exchange) ? this.readBody(exchange) : undefined
    const admitted = await this.options.admission.admit({
      customer: request.customer,
      workClass: request.workClass,
      deadlineAtMs: request.scope.deadlineAtMs,
      get signal () { return request.scope.signal }
    })
    if (admitted.isErr()) return err(claim.settleFailure(admitted.error))
    const permit = admitted.value
    if (res.closed || exchange.req.socket.destroyed) permit.release()
    else res.once('close', () => permit.release())
    const result = await this.serve(exchange, claim, permit, body)
    return result.mapErr((failure) => claim.settleFailure(failure))
  }

  private async serve (exchange: CallerExchange, claim: RequestClaim, permit: Permit, earlyBody: Promise<Result<void, Failure>> | undefined): Promise<Result<void, Failure>> {
    const { request } = exchange
    const body = request.body.length === 0 ? ok() : await (earlyBody ?? this.readBody(exchange))
    if (body.isErr()) return err(body.error)
    // Bulk requests may wait longer for a slot than a claim is valid, so they request the claim after they have a slot.
    const claimsBeforeTarget = request.workClass !== WorkClass.bulk
    const claimed = claimsBeforeTarget && claim.isRequired ? await claim.ensure() : undefined
    if (claimed?.isErr() === true) return await this.replayOrFail(exchange, claim, claimed.error)
    const loop = new AttemptLoop(this.options.context, request, this.createPolicy(request, claim, permit, claimsBeforeTarget))
    const answered = await loop.run()
    if (answered.isErr()) return await this.replayOrFail(exchange, claim, answered.error)
    return await this.writeResponse(exchange, claim, answered.value)
  }

  private async readBody (exchange: CallerExchange): Promise<Result<void, Failure>> {
    const { request, req, res, expectsContinue, maxBodyBytes } = exchange
    const body = await readRequestBody(req, {
      length: request.body.length,
      maxBytes: maxBodyBytes,
      scope: request.scope,
      sendContinue: () => { if (expectsContinue) res.writeContinue() }
    })
    if (body.isErr()) return err(body.error)
    request.body = body.value
    return ok()
  }

  private createPolicy (request: EntryRequest, claim: RequestClaim, permit: Permit, claimsBeforeTarget: boolean): AttemptPolicy {
    const { steering, latencies } = this.options.context
    const { scope, customer, service } = request
    const latestStartMs = scope.deadlineAtMs - latencies.medianMs(service)
    const isBulk = request.workClass === WorkClass.bulk
    return {
      choose: (steerRequest) => steering.choose(steerRequest),
      allowsRegion: (region) => allowsRegion(permit, region),
      enterRegion: (region) => permit.enterRegion(region),
      leaveRegion: (region) => permit.leaveRegion(region),
      prepareAttempt: claim.isRequired ? async () => await claim.ensure() : undefined,
      mayWrite: () => claim.isUsable() && scope.reason === undefined,
      writeUntilMs: () => claim.writeUntilMs,
      waitUntilMs: claimsBeforeTarget ? Math.min(latestStartMs, claim.writeUntilMs - claimMarginMs) : latestStartMs,
      takeRetry: () => this.options.admission.takeRetry(customer),
      reserveUploadBytes: isBulk ? (bytes) => permit.reserveUploadBytes(bytes) : () => 0,
      excluded: noExclusions,
      maxAttempts: entryLimits.maxAttempts,
      mayHedge: request.idempotent && request.workClass === WorkClass.interactive
    }
  }

  private async replayOrFail (exchange: CallerExchange, claim: RequestClaim, failure: Failure): Promise<Result<void, Failure>> {
    if (claim.replay === undefined) return err(failure)
    if (await exchange.res.waitForTurn(claim.replay.body.length)) writeReplay(exchange, claim.replay, this.createExtraHeaders(exchange))
    return ok()
  }

  private async writeResponse (exchange: CallerExchange, claim: RequestClaim, openResponse: OpenResponse): Promise<Result<void, Failure>> {
    const { request, res } = exchange
    claim.settleResponse(openResponse.response)
    const isComplete = await new ResponseWriter(res, openResponse, {
      headers: this.createExtraHeaders(exchange),
      isHead: request.method === 'HEAD'
    }).write()
    claim.settleStreamed(isComplete)
    return checkWritten(res, request.scope)
  }

  private createExtraHeaders (exchange: CallerExchange): readonly string[] {
    return ['Shunt-Request-Id', exchange.request.id, ...this.options.createStateHeaders()]
  }
}

/**
 * Returns true when a body is short enough to be read while the request waits to be admitted. Otherwise the connection is not read
 * meanwhile, and the end of the caller is not noticed. A caller that expects `100 Continue` sends its body only after that.
 */
function mayReadEarly ({ request, expectsContinue }: CallerExchange): boolean {
  const { length } = request.body
  return !expectsContinue && length !== undefined && length > 0 && length <= entryLimits.maxBufferedBytes
}

function allowsRegion (permit: Permit, region: string): boolean {
  if (!permit.enterRegion(region)) return false
  permit.leaveRegion(region)
  return true
}

function writeReplay (exchange: CallerExchange, answer: StoredAnswer, extra: readonly string[]): void {
  const headers: string[] = []
  for (const [name, value] of Object.entries(answer.headers)) {
    if (name === 'content-length') continue
    for (const single of typeof value === 'string' ? [value] : value) headers.push(name, single)
  }
  if (answer.status !== 204 && answer.status !== 304) headers.push('Content-Length', String(answer.body.length))
  exchange.res.writeHead(answer.status, [...headers, ...extra])
  exchange.res.end(answer.body.length === 0 ? undefined : answer.body)
}
