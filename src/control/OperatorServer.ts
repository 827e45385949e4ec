import { createServer } from 'node:http'
import type { IncomingMessage, RequestListener, Server, ServerResponse } from 'node:http'
import { createServer as createTlsServer } from 'node:https'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'
import { resultCodes } from '../common/resultCodes.js'
import type { OperatorAuth } from './OperatorAuth.js'
import type { OperatorRequest } from './OperatorRequest.js'

/** A plain text page, such as metrics. */
interface TextPage {
  readonly contentType: string
  readonly text: string
}

/** What an operator server serves. */
interface OperatorServerOptions {
  readonly auth: OperatorAuth
  readonly onRequest: (request: OperatorRequest) => Promise<Result<unknown, Failure>>
  readonly getMetrics: () => Promise<TextPage>
  /** True when the agent has a configuration and is not leaving. */
  readonly isReady: () => boolean
  readonly onError: (err: unknown) => void
  /** PEM texts; plain HTTP without them. */
  readonly tls?: { readonly cert: string, readonly key: string } | undefined
}

const adminPrefix = '/admin/v1/'
const maxBodyBytes = 16_777_216
const maxConnections = 256
const requestTimeoutMs = 10_000

/** HTTP server for operators, health checks and metrics. */
export class OperatorServer {
  private readonly server: Server

  constructor (private readonly options: OperatorServerOptions) {
    const listener: RequestListener = (req, res) => {
      this.handle(req, res).catch((error: unknown) => this.failInternally(res, error))
    }
    this.server = options.tls === undefined ? createServer(listener) : createTlsServer(options.tls, listener)
    this.server.maxConnections = maxConnections
    this.server.requestTimeout = requestTimeoutMs
    this.server.headersTimeout = requestTimeoutMs
  }

  async listen (address: string, port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(port, address, resolve)
    })
  }

  /** Replaces the certificate; new connections use it. */
  setTls (tls: { readonly cert: string, readonly key: string }): void {
    if ('setSecureContext' in this.server) (this.server as ReturnType<typeof createTlsServer>).setSecureContext(tls)
  }

  async close (): Promise<void> {
    const closed = new Promise<void>((resolve) => this.server.close(() => resolve()))
    this.server.closeAllConnections()
    await closed
  }

  private async handle (req: IncomingMessage, res: ServerResponse): Promise<void> {
    const url = parseUrl(req.url)
    if (url === undefined) return sendFailure(res, createFailure('badRequest', { message: 'The URL is malformed.' }))
    if (req.method === 'GET' && url.pathname === '/health/alive') return sendJson(res, 200, { alive: true })
    if (req.method === 'GET' && url.pathname === '/health/ready') return this.sendReadiness(res)
    if (req.method === 'GET' && url.pathname === '/metrics') return sendText(res, await this.options.getMetrics())
    if (!url.pathname.startsWith(adminPrefix)) return sendFailure(res, createFailure('unknownItem', { message: `There is no page ${url.pathname}.` }))
    const operator = this.options.auth.check(req.headers.authorization, req.socket.remoteAddress ?? '')
    if (operator.isErr()) return sendFailure(res, operator.error)
    if (url.pathname === `${adminPrefix}metrics`) return sendText(res, await this.options.getMetrics())
    const request = await readRequest(req, url, operator.value)
    if (request.isErr()) return sendFailure(res, request.error)
    const result = await this.options.onRequest(request.value)
    if (result.isErr()) return sendFailure(res, result.error)
    sendJson(res, 200, result.value)
  }

  private sendReadiness (res: ServerResponse): void {
    const ready = this.options.isReady()
    sendJson(res, ready ? 200 : 503, { ready })
  }

  private failInternally (res: ServerResponse, error: unknown): void {
    this.options.onError(error)
    if (res.headersSent) res.destroy()
    else sendFailure(res, createFailure('internal'))
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
  const chunks: Buffer[] = []
  let bytes = 0
  for await (const chunk of req as AsyncIterable<Buffer>) {
    bytes += chunk.length
    if (bytes > maxBodyBytes) return err(createFailure('bodyTooLarge', { message: `The request body is over ${maxBodyBytes} bytes.` }))
    chunks.push(chunk)
  }
  return ok(Buffer.concat(chunks))
}

function sendFailure (res: ServerResponse, { name, outcome, message, retryAfterMs }: Failure): void {
  const { code, status } = resultCodes[name]
  res.setHeader('Shunt-Code', code)
  res.setHeader('Shunt-Outcome', outcome)
  if (retryAfterMs !== undefined) res.setHeader('Retry-After', Math.ceil(retryAfterMs / 1_000))
  sendJson(res, status, { code, name, outcome, message, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) })
}

function sendJson (res: ServerResponse, status: number, value: unknown): void {
  res.writeHead(status, { 'content-type': 'application/json' })
  res.end(JSON.stringify(value))
}

function sendText (res: ServerResponse, { contentType, text }: TextPage): void {
  res.writeHead(200, { 'content-type': contentType })
  res.end(text)
}
