import { connect } from 'node:net'
import { err } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Clock } from '../common/Clock.js'
import { createFailure } from '../common/createFailure.js'
import type { DialMap } from '../common/DialMap.js'
import type { Failure } from '../common/Failure.js'
import { FrameConnection } from './FrameConnection.js'
import { frameLimits } from './frameLimits.js'
import type { Message } from './Message.js'
import type { PeerIdentity } from './PeerIdentity.js'

/** Identity, key and callbacks shared by all outgoing connections. */
interface FrameClientOptions {
  readonly self: PeerIdentity
  readonly clusterKey: string
  readonly dial: DialMap
  readonly clock: Clock
  /** Handles messages that the peer sends without a request. */
  readonly onMessage: (message: Message, peer: PeerIdentity) => Promise<Message | undefined> | Message | undefined
  /** Called for each message with the size of its frame in bytes. */
  readonly onSent?: (type: string, bytes: number) => void
  readonly onReady?: (address: string, peer: PeerIdentity) => void
  readonly onClose?: (address: string, failure: Failure | undefined) => void
}

/** The connection to one address with the state of its reconnect backoff. */
interface OutgoingConnection {
  connection: FrameConnection | undefined
  ready: Promise<boolean>
  retryAtMs: number
  backoffMs: number
}

const minBackoffMs = 100
const maxBackoffMs = 2_000

/** Keeps one outgoing connection per address; opens it on first use and reopens it with exponential backoff after a failure. */
export class FrameClient {
  private readonly connections = new Map<string, OutgoingConnection>()

  constructor (private readonly options: FrameClientOptions) {}

  /** Sends a request and opens a connection first when there is none; `timeoutMs` covers both. */
  async request (address: string, message: Message, timeoutMs: number): Promise<Result<Message, Failure>> {
    const startMs = this.options.clock.nowMs()
    const connection = await this.ensureReady(address, timeoutMs)
    if (connection === undefined) return err(createFailure('peerUnreachable', { message: `${address} cannot be reached` }))
    const leftMs = timeoutMs - (this.options.clock.nowMs() - startMs)
    return await connection.request(message, Math.max(1, leftMs))
  }

  /** Sends a message that has no response; without a ready connection it starts to connect and returns false. */
  notify (address: string, message: Message): boolean {
    const outgoing = this.ensureOutgoing(address)
    return outgoing.connection?.notify(message) ?? false
  }

  isReady (address: string): boolean {
    return this.connections.get(address)?.connection?.isReady ?? false
  }

  /** Closes the connections to addresses that are not in `keep`. */
  retain (keep: ReadonlySet<string>): void {
    for (const [address, outgoing] of this.connections) {
      if (keep.has(address)) continue
      this.connections.delete(address)
      outgoing.connection?.close(undefined)
    }
  }

  /** Closes the connection to an address; a later use reconnects after the backoff. */
  disconnect (address: string): void {
    this.connections.get(address)?.connection?.close(undefined)
  }

  close (): void {
    this.retain(new Set())
  }

  private async ensureReady (address: string, timeoutMs: number): Promise<FrameConnection | undefined> {
    const outgoing = this.ensureOutgoing(address)
    if (hasReadyConnection(outgoing)) return outgoing.connection
    let timer: NodeJS.Timeout | undefined
    const timeout = new Promise<boolean>((resolve) => { timer = setTimeout(() => resolve(false), timeoutMs) })
    await Promise.race([outgoing.ready, timeout])
    clearTimeout(timer)
    return hasReadyConnection(outgoing) ? outgoing.connection : undefined
  }

  private ensureOutgoing (address: string): OutgoingConnection {
    const outgoing = this.connections.get(address) ?? { connection: undefined, ready: Promise.resolve(false), retryAtMs: 0, backoffMs: minBackoffMs }
    this.connections.set(address, outgoing)
    if (outgoing.connection === undefined && this.options.clock.nowMs() >= outgoing.retryAtMs) this.connect(address, outgoing)
    return outgoing
  }

  private connect (address: string, outgoing: OutgoingConnection): void {
    const { host, port } = this.options.dial.resolve(address)
    const connection = new FrameConnection(connect({ host, port, timeout: frameLimits.handshakeTimeoutMs }), this.options)
    outgoing.connection = connection
    outgoing.ready = new Promise((resolve) => {
      connection.on('ready', (peer) => {
        outgoing.backoffMs = minBackoffMs
        this.options.onReady?.(address, peer)
        resolve(true)
      })
      connection.on('close', (failure) => {
        if (outgoing.connection === connection) outgoing.connection = undefined
        outgoing.retryAtMs = this.options.clock.nowMs() + outgoing.backoffMs
        outgoing.backoffMs = Math.min(maxBackoffMs, outgoing.backoffMs * 2)
        this.options.onClose?.(address, failure)
        resolve(false)
      })
    })
  }
}

function hasReadyConnection (outgoing: OutgoingConnection): boolean {
  return outgoing.connection?.isReady ?? false
}
