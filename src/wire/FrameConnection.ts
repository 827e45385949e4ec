import { randomBytes, timingSafeEqual } from 'node:crypto'
import { EventEmitter } from 'node:events'
import type { Socket } from 'node:net'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'
import { createHandshakeMac } from './createHandshakeMac.js'
import { encodeFrame } from './encodeFrame.js'
import { frameLimits } from './frameLimits.js'
import { FrameReader } from './FrameReader.js'
import type { Message } from './Message.js'
import type { PeerIdentity } from './PeerIdentity.js'

/** Handles a message from the peer and returns the response, if any. An exception or a rejected promise closes the connection. */
type MessageHandler = (message: Message, peer: PeerIdentity) => Promise<Message | undefined> | Message | undefined

/** Identity, key and message handler of a connection. */
interface FrameConnectionOptions {
  readonly self: PeerIdentity
  readonly clusterKey: string
  readonly onMessage: MessageHandler
  /** Time in ms without any bytes after which the connection is closed; none when it is not set. */
  readonly idleTimeoutMs?: number | undefined
  /** Called for each message with the size of its frame in bytes. */
  readonly onSent?: ((type: string, bytes: number) => void) | undefined
}

/** A request that awaits its response. */
interface PendingRequest {
  readonly resolve: (result: Result<Message, Failure>) => void
  readonly timer: NodeJS.Timeout
}

/** `ready` follows a successful handshake; `close` carries the failure when a protocol error or a timeout ended the connection. */
interface FrameConnectionEvents {
  ready: [peer: PeerIdentity]
  close: [failure: Failure | undefined]
}

const nonceBytes = 16

/**
 * A mutually authenticated frame connection. Both ends send `hello` and then `auth`;
 * any other frame before the peer has proved possession of the cluster key closes the connection.
 */
export class FrameConnection extends EventEmitter<FrameConnectionEvents> {
  private readonly reader = new FrameReader(frameLimits.maxHandshakeBytes)
  private readonly nonce = randomBytes(nonceBytes)
  private readonly pending = new Map<number, PendingRequest>()
  private readonly handshakeTimer: NodeJS.Timeout
  private claimedPeer: { identity: PeerIdentity, nonce: Buffer } | undefined
  private authenticatedPeer: PeerIdentity | undefined
  private nextId = 1
  private closed = false

  constructor (private readonly socket: Socket, private readonly options: FrameConnectionOptions) {
    super()
    socket.setNoDelay(true)
    socket.on('data', (chunk: Buffer) => this.receive(chunk))
    socket.on('error', () => {})
    socket.on('close', () => this.close(undefined))
    const { idleTimeoutMs } = options
    if (idleTimeoutMs !== undefined) socket.setTimeout(idleTimeoutMs, () => this.close(createFailure('peerTimeout', { message: `the peer sent nothing for ${idleTimeoutMs} ms` })))
    this.handshakeTimer = setTimeout(() => this.close(createFailure('peerTimeout', { message: 'the handshake did not complete in time' })), frameLimits.handshakeTimeoutMs)
    this.send({ t: 'hello', ...options.self, nonce: this.nonce })
  }

  /** The authenticated peer; undefined until the handshake is complete. */
  get peer (): PeerIdentity | undefined {
    return this.authenticatedPeer
  }

  get isReady (): boolean {
    return this.authenticatedPeer !== undefined && !this.closed
  }

  /** Sends a message that has no response; returns false when the connection is not ready or closes while sending. */
  notify (message: Message): boolean {
    if (!this.isReady) return false
    this.send(message)
    return !this.closed
  }

  /**
   * Sends a request and waits for its response.
   * Fails with `peerUnreachable` when nothing was sent, and with `peerTimeout` when no response arrived.
   */
  async request (message: Message, timeoutMs: number): Promise<Result<Message, Failure>> {
    if (!this.isReady) return err(createFailure('peerUnreachable'))
    const id = this.nextId++
    return await new Promise((resolve) => {
      const timer = setTimeout(() => this.settle(id, err(createFailure('peerTimeout'))), timeoutMs)
      this.pending.set(id, { resolve, timer })
      this.send({ ...message, id })
    })
  }

  close (failure: Failure | undefined): void {
    if (this.closed) return
    this.closed = true
    clearTimeout(this.handshakeTimer)
    this.socket.destroy()
    for (const id of [...this.pending.keys()]) this.settle(id, err(createFailure('peerTimeout', { message: 'the connection to the peer was closed before the response arrived' })))
    this.emit('close', failure)
  }

  private send (message: Message): void {
    if (this.closed) return
    const frame = encodeFrame(message)
    this.socket.write(frame)
    this.options.onSent?.(message.t, frame.length)
    if (this.socket.writableLength > frameLimits.maxBacklogBytes) {
      this.close(createFailure('peerTimeout', { message: 'the peer does not read fast enough; the send buffer is full' }))
    }
  }

  private receive (chunk: Buffer): void {
    this.reader.push(chunk)
    while (!this.closed) {
      const result = this.reader.next()
      if (result.isErr()) return this.close(result.error)
      if (result.value === undefined) return
      this.dispatch(result.value)
    }
  }

  private dispatch (message: Message): void {
    if (this.authenticatedPeer === undefined) return this.continueHandshake(message)
    if (typeof message.re === 'number') return this.settle(message.re, ok(message))
    this.handleMessage(message, this.authenticatedPeer).catch(() => this.close(createFailure('internal')))
  }

  private async handleMessage (message: Message, peer: PeerIdentity): Promise<void> {
    try {
      const reply = await this.options.onMessage(message, peer)
      if (typeof message.id === 'number' && reply !== undefined) this.send({ ...reply, re: message.id })
    } catch {
      this.close(createFailure('frameInvalid', { message: `the handler of the frame "${message.t}" failed` }))
    }
  }

  private continueHandshake (message: Message): void {
    if (message.t === 'hello' && this.claimedPeer === undefined) return this.handleHello(message)
    if (message.t === 'auth' && this.claimedPeer !== undefined) return this.handleAuth(message, this.claimedPeer)
    this.close(createFailure('frameAuth', { message: 'the peer sent a frame before the handshake was complete' }))
  }

  private handleHello (message: Message): void {
    const { name, role, incarnation, nonce } = message
    const validRole = role === 'agent' || role === 'entry' || role === 'lookup'
    const isSelf = nonce instanceof Uint8Array && this.nonce.equals(nonce)
    if (typeof name !== 'string' || !validRole || typeof incarnation !== 'number' || !(nonce instanceof Uint8Array) || nonce.length !== nonceBytes || isSelf) {
      return this.close(createFailure('frameAuth', { message: 'the hello frame is malformed' }))
    }
    this.claimedPeer = { identity: { name, role, incarnation }, nonce: Buffer.from(nonce) }
    const mac = createHandshakeMac(this.options.clusterKey, {
      prover: this.options.self, proverNonce: this.nonce, verifierNonce: this.claimedPeer.nonce, verifierName: name
    })
    this.send({ t: 'auth', mac })
  }

  private handleAuth (message: Message, claimed: { identity: PeerIdentity, nonce: Buffer }): void {
    const expected = createHandshakeMac(this.options.clusterKey, {
      prover: claimed.identity, proverNonce: claimed.nonce, verifierNonce: this.nonce, verifierName: this.options.self.name
    })
    const valid = message.mac instanceof Uint8Array && message.mac.length === expected.length && timingSafeEqual(message.mac, expected)
    if (!valid) return this.close(createFailure('frameAuth'))
    clearTimeout(this.handshakeTimer)
    this.reader.setMaxBodyBytes(frameLimits.maxBodyBytes)
    this.authenticatedPeer = claimed.identity
    this.emit('ready', claimed.identity)
  }

  private settle (id: number, result: Result<Message, Failure>): void {
    const pending = this.pending.get(id)
    if (pending === undefined) return
    this.pending.delete(id)
    clearTimeout(pending.timer)
    pending.resolve(result)
  }
}
