import { request as httpRequest } from 'node:http'
import type { Agent, ClientRequest, IncomingMessage, RequestOptions } from 'node:http'
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createFailure } from '../common/createFailure.js'
import type { Destination } from '../common/Destination.js'
import { formatException } from '../common/formatException.js'
import { guardCallback } from '../common/guardCallback.js'
import { GrowingBuffer } from '../common/GrowingBuffer.js'
import { Outcome } from '../common/Outcome.js'
import type { ResultName } from '../common/ResultName.js'
import { AttemptResult } from '../steer/AttemptResult.js'
import type { AttemptFailure } from './AttemptFailure.js'
import { createConnectTimeoutError } from './createConnectTimeoutError.js'
import { entryLimits } from './entryLimits.js'
import type { ExchangePolicy } from './ExchangePolicy.js'
import { findHeader } from './findHeader.js'
import { BodyUploader } from './BodyUploader.js'
import type { ConnectionRecords } from './ConnectionRecords.js'
import { isResponseFramed } from './isResponseFramed.js'
import { isResponseHeadValid } from './isResponseHeadValid.js'
import { limitInterimResponses } from './limitInterimResponses.js'
import type { UpstreamResponse } from './UpstreamResponse.js'
import type { UpstreamCall } from './UpstreamCall.js'
import type { UpstreamRequest } from './UpstreamRequest.js'

type ExchangeResult = Result<UpstreamResponse, AttemptFailure>

const noBytes = Buffer.alloc(0)
const bodylessStatuses = new Set([204, 304])

/** Resolves the address of the request. */
type DestinationResolver = (address: string) => Destination

/**
 * Sends one request on one connection and receives the response. The outcome of a failure is `notRun` only if no byte
 * of the request can have been sent: before the connection was established, or if `mayWrite` returned false. An exception
 * in a callback of the connection fails this exchange only, as `internal`.
 */
export class HttpExchange implements UpstreamCall {
  readonly response: Promise<ExchangeResult>
  connection = ''
  private resolve!: (reply: ExchangeResult) => void
  private destination!: Destination
  private socket: Socket | undefined
  private outgoing: ClientRequest | undefined
  private uploader: BodyUploader | undefined
  private incoming: IncomingMessage | undefined
  private readonly received = new GrowingBuffer()
  /** Number of chunks in which the buffered part of the body arrived. */
  private receivedChunks = 0
  /** Bytes received on the connection since the request was made. */
  private socketBytes = 0
  private isSettled = false
  private mayHaveSent = false
  private hasRetriedStale = false
  /** True if the response has neither length nor chunks, so that it ends with its connection. */
  private isUnframed = false
  /** True once it is known that an unframed response was received to its end. */
  private isEndProven = false

  constructor (
    private readonly request: UpstreamRequest,
    resolveDestination: DestinationResolver,
    private readonly agent: Agent,
    private readonly policy: ExchangePolicy,
    private readonly connections: ConnectionRecords
  ) {
    this.response = new Promise((resolve) => { this.resolve = resolve })
    this.guard(() => {
      this.destination = resolveDestination(request.address)
      if (request.needsNewConnection || this.wasRefusedOnIdleConnection()) this.connectFresh()
      else this.send(undefined)
    })()
  }

  private guard<Args extends unknown[]> (callback: (...args: Args) => void): (...args: Args) => void {
    return guardCallback(callback, (error) => {
      const outcome = this.mayHaveSent ? Outcome.unknown : Outcome.notRun
      this.failWith({ failure: createFailure('internal', { outcome }), result: AttemptResult.cancelled, exception: formatException(error) })
      this.destroy()
    })
  }

  cancel (reason: 'timeout' | 'cancelled'): void {
    const name = reason === 'timeout' ? 'upstreamTimeout' : 'deadlineExceeded'
    this.fail(name, reason === 'timeout' ? AttemptResult.timeout : AttemptResult.cancelled)
    this.destroy()
  }

  /** Connects before creating the request, so that a connection failure is known to precede the write. */
  private connectFresh (): void {
    const socket = connect({ ...this.destination, noDelay: true })
    this.socket = socket
    const timer = setTimeout(() => socket.destroy(createConnectTimeoutError()), this.policy.connectTimeoutMs)
    socket.once('error', this.onConnectFailure)
    socket.once('close', () => clearTimeout(timer))
    socket.once('connect', this.guard(() => {
      clearTimeout(timer)
      socket.off('error', this.onConnectFailure)
      this.send(socket)
    }))
  }

  /** The pool chooses the connection, so all idle ones to the address count. */
  private wasRefusedOnIdleConnection (): boolean {
    const { agent, destination, request } = this
    const idle = agent.freeSockets[agent.getName(destination)] ?? []
    return request.id !== undefined && this.connections.hasRefused(idle, request.id)
  }

  private readonly onConnectFailure = (): void => this.fail('upstreamRefused', AttemptResult.refused)

  private send (socket: Socket | undefined): void {
    if (!this.request.mayWrite()) return this.failUnsent()
    const { method, path } = this.request
    const options: RequestOptions = { host: this.destination.host, port: this.destination.port, method, path, headers: this.buildHeaders() }
    const outgoing = httpRequest(this.addConnection(options, socket))
    this.mayHaveSent = true
    this.outgoing = outgoing
    this.socketBytes = 0
    outgoing.on('response', this.onResponse)
    outgoing.on('error', this.onError)
    outgoing.once('close', () => this.onClose(outgoing))
    outgoing.once('socket', (socket) => {
      this.connection = this.connections.count(socket)
      this.limitFraming(socket)
    })
    limitInterimResponses(outgoing, this.onEndlessInterim)
    if (socket === undefined) outgoing.once('socket', this.checkAfterConnect)
    this.writeBody(outgoing)
  }

  private failUnsent (): void {
    this.recordUnsent()
    this.fail('claimExpired', AttemptResult.cancelled)
    this.destroy()
  }

  /** A pooled connection may still have to be established, and the time to write may run out meanwhile. */
  private readonly checkAfterConnect = this.guard((socket: Socket) => {
    if (!socket.connecting) return
    // Runs before the listener with which Node.js writes the request.
    socket.prependOnceListener('connect', this.guard(() => { if (!this.isSettled && !this.request.mayWrite()) this.failUnsent() }))
  })

  private addConnection (options: RequestOptions, socket: Socket | undefined): RequestOptions {
    if (socket !== undefined) return { ...options, createConnection: () => socket }
    options.agent = this.hasRetriedStale ? false : this.agent
    return options
  }

  // Node.js writes a flat array of headers as it is, without building its header table.
  private buildHeaders (): string[] {
    const { headers, body, method } = this.request
    const all = [...headers, 'Host', this.request.hostHeader ?? `${this.destination.host}:${this.destination.port}`]
    if (body.length === undefined) all.push('Transfer-Encoding', 'chunked')
    else if (body.length > 0 || (method !== 'GET' && method !== 'HEAD')) all.push('Content-Length', String(body.length))
    return all
  }

  private writeBody (outgoing: ClientRequest): void {
    const { body } = this.request
    if (body.stream === undefined) {
      outgoing.end(body.length === 0 ? undefined : body.bytes)
      return
    }
    body.hasForwardedBytes = true
    if (body.bytes.length > 0) outgoing.write(body.bytes)
    this.uploader = new BodyUploader({
      body,
      source: body.stream,
      target: outgoing,
      reserveBytes: this.request.reserveBytes,
      onFailure: (failure) => {
        this.failWith({ failure, result: AttemptResult.cancelled })
        this.destroy()
      }
    })
    this.uploader.start()
  }

  private readonly onError = this.guard((error: Error & { syscall?: string, code?: string }) => {
    if (error.syscall === 'connect') {
      this.recordUnsent()
      return this.fail('upstreamRefused', AttemptResult.refused)
    }
    if (this.isStale()) return this.retryStale()
    this.fail(this.incoming === undefined ? 'upstreamReset' : 'upstreamTruncated', AttemptResult.broken)
  })

  /** Returns whether the failure only shows that the peer closed an idle connection, which does not count against the endpoint. */
  private isStale (): boolean {
    return this.policy.retriesStaleConnection && this.outgoing?.reusedSocket === true && this.incoming === undefined && !this.isSettled &&
      !this.hasRetriedStale && this.request.body.isReplayable && !this.request.needsNewConnection
  }

  private retryStale (): void {
    this.hasRetriedStale = true
    this.send(undefined)
  }

  /** Records that nothing was sent on the last connection. The request may still have run on the stale one before it. */
  private recordUnsent (): void {
    this.mayHaveSent = this.hasRetriedStale
  }

  /** A response that switches protocols closes the connection without an error. */
  private readonly onClose = this.guard((outgoing: ClientRequest) => {
    if (outgoing === this.outgoing && this.incoming === undefined) this.fail('upstreamReset', AttemptResult.broken)
  })

  /** The parser skips bytes without end that are part of no body, such as empty lines before a response or zeros before a chunk size. */
  private limitFraming (socket: Socket): void {
    const count = this.guard((chunk: Buffer) => {
      if (this.isSettled) {
        socket.off('data', count)
        return
      }
      this.socketBytes += chunk.length
      if (this.socketBytes - this.received.length > entryLimits.maxFramingBytes) this.reject('response-framing-too-long', this.incoming === undefined ? 'upstreamReset' : 'upstreamTruncated')
    })
    socket.on('data', count)
    this.outgoing!.once('close', () => socket.off('data', count))
  }

  private readonly onEndlessInterim = this.guard(() => this.reject('response-interim-endless', 'upstreamReset'))

  private readonly onResponse = this.guard((incoming: IncomingMessage) => {
    if (this.isSettled) return this.destroy()
    this.incoming = incoming
    if (!isResponseHeadValid(incoming)) return this.reject('response-head-invalid', 'upstreamReset')
    if (!this.isMatching(incoming)) return this.reject('response-of-other-request', 'upstreamReset')
    this.recordRefusal(incoming)
    this.recordUnnamed(incoming)
    incoming.on('error', () => this.fail('upstreamTruncated', AttemptResult.broken))
    if (this.hasNoBody(incoming)) {
      incoming.resume()
      return this.succeed(noBytes, undefined)
    }
    const length = findHeader(incoming.rawHeaders, 'content-length')
    // Without length or chunks, the end of the body cannot be distinguished from a broken connection.
    this.isUnframed = !isResponseFramed(incoming.rawHeaders)
    if (this.isUnframed && !this.policy.acceptsUnframedResponse) return this.reject('response-unframed', 'upstreamTruncated')
    if (this.isUnframed) this.proveEnd(incoming.socket)
    if (Number(length) > this.policy.maxBufferedBytes) {
      incoming.pause()
      return this.succeed(noBytes, incoming)
    }
    incoming.on('data', this.onData)
    incoming.on('end', this.onEnd)
  })

  /** A duplicate response to an earlier request may arrive in place of the response to this one. */
  private isMatching ({ rawHeaders }: IncomingMessage): boolean {
    return this.request.isMatchingResponse?.(rawHeaders, this.outgoing?.reusedSocket === true) !== false
  }

  private recordRefusal ({ socket, statusCode, rawHeaders }: IncomingMessage): void {
    const { id, isRefusal } = this.request
    if (id !== undefined && isRefusal?.(statusCode!, rawHeaders) === true) this.connections.recordRefusal(socket, id)
  }

  /** A response that would not be accepted on a reused connection shows that the next one there could not be told from a copy. */
  private recordUnnamed ({ socket, rawHeaders }: IncomingMessage): void {
    if (this.request.isMatchingResponse?.(rawHeaders, true) === false) this.connections.recordUnnamed(socket)
  }

  private hasNoBody (incoming: IncomingMessage): boolean {
    return this.request.method === 'HEAD' || bodylessStatuses.has(incoming.statusCode!) || findHeader(incoming.rawHeaders, 'content-length') === '0'
  }

  private readonly onData = this.guard((chunk: Buffer) => {
    this.received.append(chunk)
    this.receivedChunks += 1
    const hasRoom = this.received.length <= this.policy.maxBufferedBytes
    if (hasRoom && this.receivedChunks <= entryLimits.maxBufferedChunks) return
    const incoming = this.incoming!
    if (hasRoom) return this.reject('response-chunks-too-many', 'upstreamTruncated')
    // After the first bytes of an unframed response were forwarded, a reset could no longer be reported instead of its end.
    if (this.isUnframed) return this.reject('response-unframed-too-long', 'upstreamTruncated')
    incoming.off('data', this.onData)
    incoming.off('end', this.onEnd)
    incoming.pause()
    this.succeed(this.received.take(), incoming)
  })

  private readonly onEnd = this.guard(() => {
    if (!this.incoming!.complete || (this.isUnframed && !this.isEndProven)) return this.fail('upstreamTruncated', AttemptResult.broken)
    this.succeed(this.received.take(), undefined)
  })

  /**
   * The end of a connection proves the end of an unframed response if the endpoint ended it in order and the whole request had
   * been written. An endpoint that gives up during an upload may also end in order, and a relay may pass its reset on as an end.
   * The operating system reports a reset that arrives together with the last bytes as an ordinary end; the socket then has no
   * remote address.
   */
  private proveEnd (socket: Socket): void {
    socket.prependOnceListener('end', () => { this.isEndProven = socket.remoteAddress !== undefined && this.outgoing!.writableFinished })
  }

  private succeed (body: Buffer, bodyStream: IncomingMessage | undefined): void {
    if (this.isSettled) return
    this.isSettled = true
    this.received.clear()
    if (bodyStream === undefined) this.stopUpload()
    const { statusCode, rawHeaders } = this.incoming!
    this.resolve(ok({ status: statusCode!, headers: rawHeaders, body, stream: bodyStream }))
  }

  // An endpoint may respond before it has read the whole body; such a connection cannot be reused.
  private stopUpload (): void {
    if (this.uploader === undefined) return
    this.uploader.stop()
    if (this.outgoing?.writableEnded !== true) this.destroy()
  }

  private reject (reason: string, name: ResultName): void {
    this.policy.onRejectedResponse?.(reason, this.request.address)
    this.fail(name, AttemptResult.broken)
    this.destroy()
  }

  private fail (name: ResultName, result: AttemptResult): void {
    this.failWith({ failure: createFailure(name, { outcome: this.mayHaveSent ? Outcome.unknown : Outcome.notRun }), result })
  }

  private failWith (attemptFailure: AttemptFailure): void {
    if (this.isSettled) return
    this.isSettled = true
    this.received.clear()
    this.uploader?.stop()
    this.resolve(err(attemptFailure))
  }

  private destroy (): void {
    this.outgoing?.on('error', () => {})
    this.outgoing?.destroy()
    this.socket?.on('error', () => {})
    this.socket?.destroy()
  }
}
