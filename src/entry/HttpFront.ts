import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerOptions, ServerResponse } from 'node:http'
import { createServer as createTlsServer } from 'node:https'
import { Server as NetServer } from 'node:net'
import type { Socket } from 'node:net'
import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'
import { Outcome } from '../common/Outcome.js'
import type { ResultName } from '../common/ResultName.js'
import type { TrackedConnection } from './TrackedConnection.js'
import { formatRefusal } from './formatRefusal.js'

/** Limits and handlers of a server. */
interface HttpFrontOptions {
  readonly limits: {
    readonly maxConnections: number
    readonly maxHeaderBytes: number
    readonly headersTimeoutMs: number
    readonly idleTimeoutMs: number
  }
  /** Certificate and key; without them the server speaks plain HTTP. */
  readonly tls?: { readonly cert: string, readonly key: string } | undefined
  /** `expectation` is set when the request has an `Expect` header. */
  readonly onRequest: (req: IncomingMessage, res: ServerResponse, expectation: 'none' | 'continue' | 'other') => void
  readonly createRequestId: () => string
  /** Ends idle connections without the refusal that a crossing request would get as its answer. */
  readonly endsIdleSilently?: boolean
  /** A request was refused before it could be read. */
  readonly onRefused: (name: ResultName) => void
}

/** Time in ms in which a caller can read a refusal on a connection that is ending. */
const lingerMs = 1_000

/** An HTTP server that counts open requests per connection, so that a planned stop cuts none of them. */
export class HttpFront {
  private readonly server: Server
  private readonly tracked = new Map<Socket, TrackedConnection>()
  private openRequests = 0
  private droppedConnections = 0
  private isClosingIdle = false

  constructor (private readonly options: HttpFrontOptions) {
    this.server = this.createServer()
    this.server.maxConnections = options.limits.maxConnections
    this.server.maxHeadersCount = 0
    this.server.on(options.tls === undefined ? 'connection' : 'secureConnection', (socket: Socket) => this.track(socket))
    this.server.on('drop', () => { this.droppedConnections += 1 })
    this.server.on('request', (req, res) => this.receive(req, res, 'none'))
    this.server.on('checkContinue', (req, res) => this.receive(req, res, 'continue'))
    this.server.on('checkExpectation', (req, res) => this.receive(req, res, 'other'))
    this.server.on('clientError', (error: Error & { code?: string }, socket) => this.refuseUnparsed(error, socket as Socket))
  }

  /** Requests without a complete answer. */
  get inFlight (): number {
    return this.openRequests
  }

  get connections (): number {
    return this.tracked.size
  }

  /** Connections that were closed at once because the limit was reached. */
  get dropped (): number {
    return this.droppedConnections
  }

  async listen (address: string, port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen({ host: address, port, backlog: 4_096 }, resolve)
    })
  }

  /** Uses another certificate for new connections. */
  replaceCertificate (tls: { readonly cert: string, readonly key: string }): void {
    const { server } = this
    if ('setSecureContext' in server) (server as unknown as { setSecureContext: (tls: object) => void }).setSecureContext(tls)
  }

  /** Times in ms that a connection may stay idle and that a caller may take for the head of a request. */
  setTimeouts ({ idleTimeoutMs, headerTimeoutMs }: { readonly idleTimeoutMs: number, readonly headerTimeoutMs: number }): void {
    this.server.keepAliveTimeout = idleTimeoutMs
    // Node counts the time for the first head from the connection, which may stay idle before it.
    this.server.headersTimeout = idleTimeoutMs + headerTimeoutMs
  }

  /** Takes no further connections; open ones go on. */
  closeListener (): void {
    // The method of `http.Server` would destroy idle connections, with a reset when a request is on its way.
    NetServer.prototype.close.call(this.server)
  }

  /** Ends connections without an open request, now and as soon as they become idle. */
  closeIdle (): void {
    this.isClosingIdle = true
    for (const connection of this.tracked.values()) this.endIdle(connection)
  }

  /** Opens idle connections to use again after a drain was cancelled. */
  stopClosingIdle (): void {
    this.isClosingIdle = false
  }

  closeAll (): void {
    this.closeListener()
    this.server.closeAllConnections()
    for (const socket of this.tracked.keys()) socket.destroy()
  }

  private createServer (): Server {
    const { limits, tls } = this.options
    const options: ServerOptions = {
      maxHeaderSize: limits.maxHeaderBytes,
      headersTimeout: limits.headersTimeoutMs,
      // Bodies have their own limits: an idle time per chunk and the deadline of the request.
      requestTimeout: 0,
      keepAliveTimeout: limits.idleTimeoutMs,
      connectionsCheckingInterval: Math.min(1_000, limits.headersTimeoutMs),
      // Node's own answer to a missing Host header has no result code.
      requireHostHeader: false
    }
    return tls === undefined ? createServer(options) : createTlsServer({ ...options, ...tls }) as unknown as Server
  }

  private track (socket: Socket): void {
    const connection: TrackedConnection = { socket, openResponses: new Set(), isClosing: false }
    this.tracked.set(socket, connection)
    socket.once('close', () => {
      this.tracked.delete(socket)
      // Node closes the answer that is being written, but not those of pipelined requests behind it.
      setImmediate(() => { for (const res of connection.openResponses) res.emit('close') })
    })
  }

  private receive (req: IncomingMessage, res: ServerResponse, expectation: 'none' | 'continue' | 'other'): void {
    const connection = this.tracked.get(req.socket)
    // Its caller has been told that it was not run.
    if (connection?.isClosing === true) return
    connection?.openResponses.add(res)
    this.openRequests += 1
    res.once('close', () => {
      this.openRequests -= 1
      if (connection === undefined) return
      connection.openResponses.delete(res)
      if (this.isClosingIdle) this.endIdle(connection)
    })
    this.options.onRequest(req, res, expectation)
  }

  /**
   * Ends an idle connection with a refusal. A caller whose request crosses it on the way gets that as its answer
   * instead of a reset. The request is not run, but the refusal says `unknown`: the request has not been read, and
   * an earlier one with the same key may have run.
   */
  private endIdle (connection: TrackedConnection): void {
    if (connection.openResponses.size > 0 || connection.isClosing) return
    connection.isClosing = true
    if (this.options.endsIdleSilently === true) {
      connection.socket.end()
      return
    }
    this.endWithRefusal(connection.socket, createFailure('hostLeaving', {
      outcome: Outcome.unknown,
      message: 'The host is leaving and did not read this request; repeat it at another host, with the same key if it has one.'
    }))
  }

  private refuseUnparsed (error: Error & { code?: string }, socket: Socket): void {
    const isBusy = (this.tracked.get(socket)?.openResponses.size ?? 0) > 0
    if (isBusy || !socket.writable || error.code === 'ECONNRESET') {
      socket.destroy()
      return
    }
    const failure = createFailure(getResultName(error.code), { message: describe(error.code) })
    this.options.onRefused(failure.name)
    this.endWithRefusal(socket, failure)
  }

  private endWithRefusal (socket: Socket, failure: Failure): void {
    const { status, headers, body } = formatRefusal(failure, this.options.createRequestId())
    const lines = [`HTTP/1.1 ${status} Refused`, 'Connection: close']
    for (let index = 0; index < headers.length; index += 2) lines.push(`${headers[index]}: ${headers[index + 1]}`)
    socket.end(`${lines.join('\r\n')}\r\n\r\n${body}`)
    socket.resume()
    setTimeout(() => socket.destroy(), lingerMs).unref()
  }
}

function getResultName (code: string | undefined): ResultName {
  if (code === 'HPE_HEADER_OVERFLOW') return 'headersTooLarge'
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') return 'requestTimeout'
  return 'badRequest'
}

function describe (code: string | undefined): string {
  return `The request could not be read (${code ?? 'unknown error'}).`
}
