import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerOptions } from 'node:http'
import { createServer as createTlsServer } from 'node:https'
import { Server as NetServer } from 'node:net'
import type { Socket } from 'node:net'
import { afterNextPoll } from '../common/afterNextPoll.js'
import { createFailure } from '../common/createFailure.js'
import type { Clock } from '../common/Clock.js'
import type { Failure } from '../common/Failure.js'
import { guardCallback } from '../common/guardCallback.js'
import { Outcome } from '../common/Outcome.js'
import type { ResultName } from '../common/ResultName.js'
import type { ArrivedRequest } from './ArrivedRequest.js'
import { checkRequestSyntax } from './checkRequestSyntax.js'
import { endAndLinger } from './endAndLinger.js'
import { entryLimits } from './entryLimits.js'
import { formatRefusal } from './formatRefusal.js'
import { isHoldable } from './isHoldable.js'
import { PipelinedResponse } from './PipelinedResponse.js'
import { TrackedConnection } from './TrackedConnection.js'
import { writeRefusal } from './writeRefusal.js'

/** Limits and handlers of the server. */
interface HttpFrontOptions {
  readonly clock: Clock
  readonly limits: {
    readonly maxConnections: number
    readonly maxHeaderBytes: number
    readonly headersTimeoutMs: number
    readonly idleTimeoutMs: number
  }
  /** Certificate and key; without them the server uses plain HTTP. */
  readonly tls?: { readonly cert: string, readonly key: string } | undefined
  /** Handles a request; `expectation` describes its `Expect` header. */
  readonly onRequest: (req: IncomingMessage, res: PipelinedResponse, expectation: ArrivedRequest['expectation']) => void
  /** Returns true while responses must close their connections, so that callers move to other hosts. */
  readonly closesConnections: () => boolean
  readonly createRequestId: () => string
  /** Closes idle connections without sending a refusal for a request that may be under way. */
  readonly closesIdleSilently?: boolean
  /** Called for each request that was refused because it could not be parsed or is malformed. */
  readonly onRefused: (name: ResultName) => void
  /** Called with an exception of `onRequest`; its request gets status 500, and the connection goes on. */
  readonly onException: (error: unknown) => void
}

type FrontServer = Server<typeof IncomingMessage, typeof PipelinedResponse>

/** Maximum time in ms for accepting the connections that wait when the listener is to be closed. */
const maxDrainMs = 500

/** Time in ms for which a connection must have been idle before it is closed without a refusal. */
const minIdleMs = 300

/** Error code of the parser when a connection ends in the middle of a request. */
const endWithinRequest = 'HPE_INVALID_EOF_STATE'

/** An HTTP server that tracks open requests per connection, so that a planned stop interrupts none of them. */
export class DrainableHttpServer {
  private readonly server: FrontServer
  private readonly tracked = new Map<Socket, TrackedConnection>()
  private openRequests = 0
  private acceptedConnections = 0
  private droppedConnections = 0
  private abandonedRequests = 0
  private isClosingIdle = false

  constructor (private readonly options: HttpFrontOptions) {
    this.server = this.createServer()
    this.server.maxConnections = options.limits.maxConnections
    this.server.maxHeadersCount = 0
    this.server.on(options.tls === undefined ? 'connection' : 'secureConnection', (socket: Socket) => this.track(socket))
    this.server.on('connection', () => { this.acceptedConnections += 1 })
    this.server.on('drop', () => {
      this.acceptedConnections += 1
      this.droppedConnections += 1
    })
    this.server.on('request', (req, res) => this.receive({ req, res, expectation: 'none' }))
    this.server.on('checkContinue', (req, res) => this.receive({ req, res, expectation: 'continue' }))
    this.server.on('checkExpectation', (req, res) => this.receive({ req, res, expectation: 'other' }))
    this.server.on('clientError', (error: Error & { code?: string }, socket) => this.refuseUnparsed(error, socket as Socket))
  }

  /** Number of requests without a complete response. */
  get inFlight (): number {
    return this.openRequests
  }

  /** Number of connections that are not closed, also of those that have ended and whose callers may still send. */
  get connections (): number {
    return this.tracked.size
  }

  /** Number of connections that are not read at the moment, so that the end of the caller would not be noticed. */
  get unreadConnections (): number {
    return [...this.tracked.keys()].filter((socket) => socket.isPaused()).length
  }

  /**
   * Closes the connections with most bytes that their callers have not taken yet until at most `maxBytes` are left, and returns what
   * was closed. Callers who don't read must not take the memory that the others need. Of connections with equally many bytes the
   * newest are closed first, so that callers who come in a burst don't displace those who were served before.
   */
  closeSlowReaders (maxBytes: number): { readonly connections: number, readonly bytes: number } {
    const rows = [...this.tracked.values()].reverse().map((connection) => ({ connection, bytes: connection.unsentBytes }))
    let leftBytes = rows.reduce((sum, { bytes }) => sum + bytes, 0)
    const closed = { connections: 0, bytes: 0 }
    if (leftBytes <= maxBytes) return closed
    for (const { connection, bytes } of rows.sort((a, b) => b.bytes - a.bytes)) {
      if (leftBytes <= maxBytes) break
      connection.socket.destroy()
      leftBytes -= bytes
      closed.connections += 1
      closed.bytes += bytes
    }
    return closed
  }

  /** Number of connections that were closed on accept because the limit was reached. */
  get dropped (): number {
    return this.droppedConnections
  }

  /** Number of requests whose callers had left before the requests were handled. */
  get abandoned (): number {
    return this.abandonedRequests
  }

  async listen (address: string, port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen({ host: address, port, backlog: 4_096 }, resolve)
    })
  }

  /** Sets the certificate for new connections. */
  replaceCertificate (tls: { readonly cert: string, readonly key: string }): void {
    const { server } = this
    if ('setSecureContext' in server) (server as unknown as { setSecureContext: (tls: object) => void }).setSecureContext(tls)
  }

  /** Sets the time in ms that a connection may be idle and the time in ms for receiving the headers of a request. */
  setTimeouts ({ idleTimeoutMs, headerTimeoutMs }: { readonly idleTimeoutMs: number, readonly headerTimeoutMs: number }): void {
    this.server.keepAliveTimeout = idleTimeoutMs
    // Node.js measures the time for the first headers from the connect, and the connection may be idle before them.
    this.server.headersTimeout = idleTimeoutMs + headerTimeoutMs
  }

  /**
   * Stops accepting connections; open connections stay usable. Closing a listener resets the connections that wait to be
   * accepted, so these are accepted first.
   */
  async drainListener (): Promise<void> {
    const { clock } = this.options
    const endMs = clock.nowMs() + maxDrainMs
    // Node.js accepts one connection before each callback of `setImmediate`, if any is waiting.
    for (let accepted = -1; accepted < this.acceptedConnections && clock.nowMs() < endMs;) {
      accepted = this.acceptedConnections
      await new Promise((resolve) => setImmediate(resolve))
    }
    this.closeListener()
  }

  /** Stops accepting connections at once; open connections stay usable. */
  closeListener (): void {
    // `close` of `http.Server` would also destroy idle connections, which resets a request that is under way.
    NetServer.prototype.close.call(this.server)
  }

  /** Closes idle connections, and the others as soon as they become idle. */
  closeIdle (): void {
    this.isClosingIdle = true
    for (const connection of this.tracked.values()) this.endIdle(connection)
  }

  /** Stops closing connections that become idle, after a drain was cancelled. */
  stopClosingIdle (): void {
    this.isClosingIdle = false
  }

  closeAll (): void {
    this.closeListener()
    this.server.closeAllConnections()
    for (const socket of this.tracked.keys()) socket.destroy()
  }

  private createServer (): FrontServer {
    const { limits, tls } = this.options
    const options: ServerOptions<typeof IncomingMessage, typeof PipelinedResponse> = {
      ServerResponse: PipelinedResponse,
      maxHeaderSize: limits.maxHeaderBytes,
      headersTimeout: limits.headersTimeoutMs,
      // Bodies are limited by the idle time between chunks and by the deadline of the request.
      requestTimeout: 0,
      keepAliveTimeout: limits.idleTimeoutMs,
      connectionsCheckingInterval: Math.min(1_000, limits.headersTimeoutMs),
      // The built-in response of Node.js to a missing Host header has no result code.
      requireHostHeader: false
    }
    return tls === undefined ? createServer(options) : createTlsServer({ ...options, ...tls }) as unknown as FrontServer
  }

  private track (socket: Socket): void {
    const connection = new TrackedConnection(socket, this.options.clock.nowMs())
    this.tracked.set(socket, connection)
    // Node.js calls this after a response that closes the connection, and would destroy the socket.
    socket.destroySoon = () => endAndLinger(socket)
    socket.once('close', () => {
      this.tracked.delete(socket)
      // Node.js closes the response that is being written, but not those of pipelined requests behind it.
      setImmediate(() => { for (const res of connection.openResponses) res.emit('close') })
    })
  }

  private receive (arrived: ArrivedRequest): void {
    const connection = this.tracked.get(arrived.req.socket)
    if (connection === undefined) return
    if (connection.isRefusingRequests) return connection.refuse(arrived)
    arrived.res.arrivedAtMs = this.options.clock.nowMs()
    if (!connection.mustHold) return this.open(connection, arrived)
    if (!isHoldable(arrived.req)) {
      for (const earlier of connection.held.splice(0)) this.open(connection, earlier)
      return this.open(connection, arrived)
    }
    if (connection.held.length >= entryLimits.maxHeldRequests) connection.refuse(arrived)
    else connection.held.push(arrived)
  }

  /** Takes a request on to be handled, unless the connection may have no further open request. */
  private open (connection: TrackedConnection, arrived: ArrivedRequest): void {
    const isFull = connection.openResponses.size >= entryLimits.maxPipelinedRequests
    if (connection.isRefusingRequests || isFull || this.isLastRequestOpen(connection)) return connection.refuse(arrived)
    const { req, res } = arrived
    const syntax = checkRequestSyntax(req)
    if (syntax.isErr()) {
      req.resume()
      return this.refuseHead(connection, syntax.error)
    }
    connection.open(res)
    this.openRequests += 1
    res.settleKeepAlive = (wantsKeepAlive) => connection.settleKeepAlive(res, wantsKeepAlive && !this.options.closesConnections())
    res.once('close', () => this.onResponseClose(connection, res))
    // A busy process accepts connections late, when the caller may have given up and closed its connection behind the request.
    afterNextPoll(() => this.handle(arrived))
  }

  private onResponseClose (connection: TrackedConnection, res: PipelinedResponse): void {
    this.openRequests -= 1
    connection.openResponses.delete(res)
    connection.idleSinceMs = this.options.clock.nowMs()
    if (connection.socket.writable) while (connection.canReleaseHeld) this.open(connection, connection.held.shift()!)
    if (connection.openResponses.size > 0) return
    if (connection.finalRefusal !== undefined) this.endWithRefusal(connection.socket, connection.finalRefusal)
    else if (connection.isRefusingRequests) endAndLinger(connection.socket)
    else if (this.isClosingIdle) this.endIdle(connection)
  }

  private handle ({ req, res, expectation }: ArrivedRequest): void {
    if (req.socket.destroyed) {
      this.abandonedRequests += 1
      return
    }
    guardCallback(this.options.onRequest, (error) => {
      this.options.onException(error)
      this.refuse(req, res, createFailure('internal', { outcome: Outcome.unknown }))
    })(req, res, expectation)
  }

  /**
   * Returns true when the newest open response must close its connection and still can. With a caller that always sends
   * another request before that response, no response would ever close the connection.
   */
  private isLastRequestOpen (connection: TrackedConnection): boolean {
    return this.options.closesConnections() && connection.canCloseWithNewest
  }

  private refuse (req: IncomingMessage, res: PipelinedResponse, failure: Failure): void {
    this.options.onRefused(failure.name)
    writeRefusal(req, res, failure, { requestId: this.options.createRequestId(), close: false, headers: [] })
  }

  /**
   * Closes an idle connection with a refusal. A caller whose request is under way at that time receives the refusal
   * instead of a reset. The request is not run, but its outcome is `unknown`: it has not been read, and an earlier
   * request with the same key may have run.
   */
  private endIdle (connection: TrackedConnection): void {
    if (connection.openResponses.size > 0 || connection.isRefusingRequests) return
    if (this.options.closesIdleSilently === true) return this.endSilently(connection)
    connection.isRefusingRequests = true
    this.endWithRefusal(connection.socket, createFailure('hostLeaving', {
      outcome: Outcome.unknown,
      message: 'The host is leaving and did not read this request; retry it at another host, with the same idempotency key if it has one.'
    }))
  }

  /** Ends a connection once it has been idle long enough that no request of the caller is likely to be under way. */
  private endSilently (connection: TrackedConnection): void {
    const remainingMs = connection.idleSinceMs + minIdleMs - this.options.clock.nowMs()
    if (remainingMs > 0) {
      setTimeout(() => { if (this.isClosingIdle) this.endIdle(connection) }, remainingMs)
      return
    }
    connection.isRefusingRequests = true
    connection.socket.end()
  }

  private refuseUnparsed (error: Error & { code?: string }, socket: Socket): void {
    const connection = this.tracked.get(socket)
    if (error.code === endWithinRequest && connection?.isWithinHead === true) return this.endWithCaller(connection)
    // What arrives behind a refused head is discarded, since a reset could take the refusal from the caller.
    if (connection?.finalRefusal !== undefined && error.code !== 'ECONNRESET') return
    if (connection === undefined || !socket.writable || error.code === 'ECONNRESET' || connection.isReadingBody) {
      socket.destroy()
      return
    }
    // The connection already ends after its open responses.
    if (connection.isRefusingRequests) return
    this.refuseHead(connection, createFailure(getResultName(error.code), { message: describe(error.code) }))
  }

  /** Ends a connection whose caller has ended it in the middle of a request, as Node.js does after an end between requests. */
  private endWithCaller (connection: TrackedConnection): void {
    connection.isRefusingRequests = true
    connection.finalRefusal = undefined
    connection.socket.end()
  }

  /**
   * Answers a head that the parser or this server refuses, after the responses to the requests before it, and closes the
   * connection: what follows such a head may be framed otherwise than it seems.
   */
  private refuseHead (connection: TrackedConnection, failure: Failure): void {
    this.options.onRefused(failure.name)
    connection.isRefusingRequests = true
    // A refusal would be taken for the response to the first of the held requests, which are not handled any more.
    if (connection.held.length > 0) return
    connection.finalRefusal = failure
    if (connection.openResponses.size === 0) this.endWithRefusal(connection.socket, failure)
  }

  private endWithRefusal (socket: Socket, failure: Failure): void {
    const { status, headers, body } = formatRefusal(failure, this.options.createRequestId())
    const lines = [`HTTP/1.1 ${status} Refused`, 'Connection: close']
    for (let index = 0; index < headers.length; index += 2) lines.push(`${headers[index]}: ${headers[index + 1]}`)
    endAndLinger(socket, `${lines.join('\r\n')}\r\n\r\n${body}`)
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
