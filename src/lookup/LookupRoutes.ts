import type { IncomingMessage, ServerResponse } from 'node:http'
import { isIP } from 'node:net'
import { err } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createFailure } from '../common/createFailure.js'
import type { Clock } from '../common/Clock.js'
import type { CredentialThrottle } from '../common/CredentialThrottle.js'
import type { Failure } from '../common/Failure.js'
import { hashCredential } from '../common/hashCredential.js'
import { readBearer } from '../common/readBearer.js'
import { readRequestId } from '../common/readRequestId.js'
import { sendFailure } from '../common/sendFailure.js'
import { sendJson } from '../common/sendJson.js'
import type { Contract } from '../model/Contract.js'
import type { LookupResponse } from './LookupResponse.js'
import type { LookupMetrics } from './LookupMetrics.js'
import type { LookupService } from './LookupService.js'

/** Dependencies of the lookup route. */
interface LookupRoutesOptions {
  readonly service: LookupService
  readonly throttle: CredentialThrottle
  readonly metrics: LookupMetrics
  readonly clock: Clock
  /** Address of this host. It is never throttled, because the entry process forwards the lookups of many callers from it. */
  readonly ownAddress: string
}

/** Serves `GET /v1/lookup` to callers, which send it directly or through the entry process of the host. */
export class LookupRoutes {
  constructor (private readonly options: LookupRoutesOptions) {}

  /** Responds to a request for the lookup path; returns false for any other path. */
  handle (req: IncomingMessage, res: ServerResponse): boolean {
    const url = parseUrl(req.url ?? '')
    if (url?.pathname !== '/v1/lookup') return false
    const startMs = this.options.clock.nowMs()
    const requestId = readRequestId(req)
    const result = this.processLookup(req, url)
    if (result.isErr()) {
      this.options.metrics.recordRefusal(result.error.name)
      sendFailure(res, result.error, requestId)
      return true
    }
    sendJson(res, 200, result.value, { 'Shunt-Request-Id': requestId, 'Cache-Control': `private, max-age=${Math.floor(result.value.ttlMs / 1_000)}` })
    this.options.metrics.recordLookup(this.options.clock.nowMs() - startMs)
    return true
  }

  private processLookup (req: IncomingMessage, url: URL): Result<LookupResponse, Failure> {
    if (req.method !== 'GET' && req.method !== 'HEAD') return err(createFailure('badRequest', { message: 'Lookups accept only GET and HEAD.' }))
    const address = req.socket.remoteAddress ?? ''
    return this.authenticate(req, address).andThen((contract) => {
      const client = url.searchParams.get('client') ?? address
      const service = url.searchParams.get('service') ?? undefined
      if (isIP(client) === 0) return err(createFailure('badRequest', { message: 'The parameter "client" is not an IP address.' }))
      return this.options.service.lookUp(contract, { client, service })
    })
  }

  private authenticate (req: IncomingMessage, address: string): Result<Contract, Failure> {
    const { throttle, service, ownAddress } = this.options
    const waitMs = address === ownAddress ? 0 : throttle.waitMs(address)
    if (waitMs > 0) return err(createFailure('credentialThrottled', { retryAfterMs: waitMs }))
    const credential = readBearer(req)
    if (credential === undefined) return err(createFailure('missingCredential'))
    return service.findContract(hashCredential(credential)).orElse((failure) => {
      if (failure.name === 'wrongCredential') throttle.recordWrongCredential(address)
      return err(failure)
    })
  }
}

function parseUrl (text: string): URL | undefined {
  try {
    return new URL(text, 'http://host')
  } catch {
    return undefined
  }
}
