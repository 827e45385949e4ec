import type { IncomingMessage, ServerResponse } from 'node:http'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Registry } from 'prom-client'
import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'
import { GrowingBuffer } from '../common/GrowingBuffer.js'
import { HealthRoutes } from '../common/HealthRoutes.js'
import { HttpListener } from '../common/HttpListener.js'
import type { Logger } from '../common/Logger.js'
import { readBearer } from '../common/readBearer.js'
import { readRequestId } from '../common/readRequestId.js'
import { sendFailure } from '../common/sendFailure.js'
import { sendJson } from '../common/sendJson.js'
import type { Settings } from '../config/Settings.js'
import type { OperatorAuth } from './OperatorAuth.js'
import type { OperatorRequest } from './OperatorRequest.js'

interface OperatorServerOptions {
  readonly settings: Settings
  readonly logger: Logger
  readonly auth: OperatorAuth
  readonly registry: Registry
  readonly onRequest: (request: OperatorRequest) => Promise<Result<unknown, Failure>>
  /** Returns why the agent is not ready, or undefined when it is. */
  readonly findNotReadyReason: () => string | undefined
}

const adminPrefix = '/admin/v1/'
const maxBodyBytes = 16_777_216
const closeTimeoutMs = 1_000

/** HTTP server for operators, health checks and metrics. */
export class OperatorServer {
  private readonly listener: HttpListener
  private readonly health: HealthRoutes

  constructor (private readonly options: OperatorServerOptions) {
    const { settings, logger, registry, findNotReadyReason } = options
    this.health = new HealthRoutes({ registry, findNotReadyReason })
    this.listener = new HttpListener({
      limits: settings.limits,
      tls: settings.tls,
      logger,
      onRequest: (req, res) => { this.handle(req, res).catch((error: unknown) => this.sendInternalError(res, error)) }
    })
  }

  async listen (): Promise<void> {
    const { address, ports } = this.options.settings
    await this.listener.listen(address, ports.operator)
  }

  async close (): Promise<void> {
    await this.listener.close(closeTimeoutMs)
  }

  private async handle (req: IncomingMessage, res: ServerResponse): Promise<void> {
    if (this.health.handle(req, res)) return
    const requestId = readRequestId(req)
    const result = await this.dispatch(req)
    if (result.isErr()) return sendFailure(res, result.error, requestId)
    if (typeof result.value === 'string') {
      res.writeHead(200, { 'Content-Type': this.options.registry.contentType })
      res.end(result.value)
      return
    }
    sendJson(res, 200, result.value, { 'Shunt-Request-Id': requestId })
  }

  /** Routes a request; a string result is sent as text, any other as JSON. */
  private async dispatch (req: IncomingMessage): Promise<Result<unknown, Failure>> {
    const url = parseUrl(req.url)
    if (url === undefined) return err(createFailure('badRequest', { message: 'The URL is malformed.' }))
    if (!url.pathname.startsWith(adminPrefix)) return err(createFailure('unknownItem', { message: `There is no ${url.pathname}; paths start with ${adminPrefix}.` }))
    const operator = this.options.auth.authenticate(readBearer(req), req.socket.remoteAddress ?? '')
    if (operator.isErr()) return err(operator.error)
    if (url.pathname === `${adminPrefix}metrics`) return ok(await this.options.registry.metrics())
    const request = await readRequest(req, url, operator.value)
    return request.isErr() ? err(request.error) : await this.options.onRequest(request.value)
  }

  private sendInternalError (res: ServerResponse, error: unknown): void {
    this.options.logger.error('operator-request-failed', { message: error instanceof Error ? error.stack ?? error.message : 'unknown' })
    if (res.headersSent) res.destroy()
    else sendFailure(res, createFailure('internal', { outcome: 'unknown' }), '')
  }
}

function parseUrl (url: string | undefined): URL | undefined {
  try {
    return new URL(url ?? '/', 'http://agent')
  } catch {
    return undefined
  }
}

async function readRequest (req: IncomingMessage, url: URL, operator: string): Promise<Result<OperatorRequest, Failure>> {
  const body = await readBody(req)
  if (body.isErr()) return err(body.error)
  try {
    const segments = url.pathname.slice(adminPrefix.length).split('/').map(decodeURIComponent)
    const parsed: unknown = body.value.length === 0 ? {} : JSON.parse(body.value.toString('utf8'))
    return ok({ operator, method: req.method ?? '', segments, query: url.searchParams, body: parsed })
  } catch {
    return err(createFailure('badRequest', { message: 'The path or the JSON body is malformed.' }))
  }
}

async function readBody (req: IncomingMessage): Promise<Result<Buffer, Failure>> {
  const received = new GrowingBuffer()
  for await (const chunk of req as AsyncIterable<Buffer>) {
    received.append(chunk)
    if (received.length > maxBodyBytes) return err(createFailure('bodyTooLarge', { message: `The request body exceeds ${maxBodyBytes} bytes.` }))
  }
  return ok(received.take())
}
