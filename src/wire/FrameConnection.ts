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

/** Answers a request of the peer; a rejected promise closes the connection. */
type RequestHandler = (message: Message, peer: PeerIdentity) => Promise<Message | undefined> | Message | undefined

/** What a connection needs besides its socket. */
interface FrameConnectionOptions {
  readonly self: PeerIdentity
  readonly clusterKey: string
  readonly onMessage: RequestHandler
}

/** A request that waits for its answer. */
interface PendingRequest {
  readonly resolve: (result: Result<Message, Failure>) => void
  readonly timer: NodeJS.Timeout
}

/** Events: `ready` (peer), `close` (failure or undefined). */
interface FrameConnectionEvents {
  ready: [peer: PeerIdentity]
  close: [failure: Failure | undefined]
}

const nonceBytes = 16

/**
 * One authenticated frame connection. Both sides send `hello` and then `auth`;
 * no other frame is read before the peer has proved the cluster key.
 */
export class FrameConnection extends EventEmitter<FrameConnectionEvents> {
  private readonly reader = new FrameReader(frameLimits.maxHandshakeBytes)
  private readonly nonce = randomBytes(nonceBytes)
  private readonly pending = new Map<number, PendingRequest>()
  private readonly handshakeTimer: NodeJS.Timeout
  private claimedPeer: { identity: PeerIdentity, nonce: Buffer } | undefined
  private provenPeer: PeerIdentity | undefined
  private nextId = 1
  private closed = false

  constructor (private readonly socket: Socket, private readonly options: FrameConnectionOptions) {
    super()
    socket.setNoDelay(true)
    socket.on('data', (chunk: Buffer) => this.receive(chunk))
    socket.on('error', () => {})
    socket.on('close', () => this.close(undefined))
    this.handshakeTimer = setTimeout(() => this.close(createFailure('peerTimeout', { message: 'the handshake took too long' })), frameLimits.handshakeTimeoutMs)
    this.send({ t: 'hello', ...options.self, nonce: this.nonce })
  }

  /** The peer once it has proved the cluster key. */
  get peer (): PeerIdentity | undefined {
    return this.provenPeer
  }

  get isReady (): boolean {
    return this.provenPeer !== undefined && !this.closed
  }

  /** Sends a message that needs no answer; false when the connection is not ready. */
  notify (message: Message): boolean {
    if (!this.isReady) return false
    this.send(message)
    return !this.closed
  }

  /**
   * Sends a request and waits for its answer.
   * Failures: `peerUnreachable` when nothing was sent, `peerTimeout` when the answer did not come.
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
    for (const id of [...this.pending.keys()]) this.settle(id, err(createFailure('peerTimeout', { message: 'the connection to the peer broke' })))
    this.emit('close', failure)
  }

  private send (message: Message): void {
    if (this.closed) return
    this.socket.write(encodeFrame(message))
    if (this.socket.writableLength > frameLimits.maxBacklogBytes) {
      this.close(createFailure('peerTimeout', { message: 'the peer does not read' }))
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
    if (this.provenPeer === undefined) return this.continueHandshake(message)
    if (typeof message.re === 'number') return this.settle(message.re, ok(message))
    this.answer(message, this.provenPeer).catch(() => this.close(createFailure('internal')))
  }

  private async answer (message: Message, peer: PeerIdentity): Promise<void> {
    try {
      const reply = await this.options.onMessage(message, peer)
      if (typeof message.id === 'number' && reply !== undefined) this.send({ ...reply, re: message.id })
    } catch {
      this.close(createFailure('frameInvalid', { message: `the frame "${message.t}" could not be handled` }))
    }
  }

  private continueHandshake (message: Message): void {
    if (message.t === 'hello' && this.claimedPeer === undefined) return this.readHello(message)
    if (message.t === 'auth' && this.claimedPeer !== undefined) return this.readAuth(message, this.claimedPeer)
    this.close(createFailure('frameAuth', { message: 'the peer sent a frame before the handshake was complete' }))
  }

  private readHello (message: Message): void {
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

  private readAuth (message: Message, claimed: { identity: PeerIdentity, nonce: Buffer }): void {
    const expected = createHandshakeMac(this.options.clusterKey, {
      prover: claimed.identity, proverNonce: claimed.nonce, verifierNonce: this.nonce, verifierName: this.options.self.name
    })
    const valid = message.mac instanceof Uint8Array && message.mac.length === expected.length && timingSafeEqual(message.mac, expected)
    if (!valid) return this.close(createFailure('frameAuth'))
    clearTimeout(this.handshakeTimer)
    this.reader.setMaxBodyBytes(frameLimits.maxBodyBytes)
    this.provenPeer = claimed.identity
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
