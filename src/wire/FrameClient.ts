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

/** What outgoing connections need. */
interface FrameClientOptions {
  readonly self: PeerIdentity
  readonly clusterKey: string
  readonly dial: DialMap
  readonly clock: Clock
  /** Handles messages that the other side sends on its own. */
  readonly onMessage: (message: Message, peer: PeerIdentity) => Promise<Message | undefined> | Message | undefined
  readonly onReady?: (address: string, peer: PeerIdentity) => void
  readonly onClose?: (address: string, failure: Failure | undefined) => void
}

/** An outgoing connection and the wait before the next try. */
interface Link {
  connection: FrameConnection | undefined
  ready: Promise<boolean>
  nextTryMs: number
  backoffMs: number
}

const minBackoffMs = 100
const maxBackoffMs = 2_000

/** Keeps one outgoing connection per address, made when first needed and again after a failure. */
export class FrameClient {
  private readonly links = new Map<string, Link>()

  constructor (private readonly options: FrameClientOptions) {}

  /** Sends a request; connects first when needed, within `timeoutMs` in all. */
  async request (address: string, message: Message, timeoutMs: number): Promise<Result<Message, Failure>> {
    const startMs = this.options.clock.nowMs()
    const connection = await this.ensureReady(address, timeoutMs)
    if (connection === undefined) return err(createFailure('peerUnreachable', { message: `${address} cannot be reached` }))
    const leftMs = timeoutMs - (this.options.clock.nowMs() - startMs)
    return await connection.request(message, Math.max(1, leftMs))
  }

  /** Sends a message without an answer; starts to connect and returns false when there is no connection. */
  notify (address: string, message: Message): boolean {
    const link = this.ensureLink(address)
    return link.connection?.notify(message) ?? false
  }

  isReady (address: string): boolean {
    return this.links.get(address)?.connection?.isReady ?? false
  }

  /** Closes the connections to addresses that are not in `keep`. */
  retain (keep: ReadonlySet<string>): void {
    for (const [address, link] of this.links) {
      if (keep.has(address)) continue
      this.links.delete(address)
      link.connection?.close(undefined)
    }
  }

  /** Closes the connection to an address; the next use opens another. */
  drop (address: string): void {
    this.links.get(address)?.connection?.close(undefined)
  }

  close (): void {
    this.retain(new Set())
  }

  private async ensureReady (address: string, timeoutMs: number): Promise<FrameConnection | undefined> {
    const link = this.ensureLink(address)
    if (isUsable(link)) return link.connection
    let timer: NodeJS.Timeout | undefined
    const timeout = new Promise<boolean>((resolve) => { timer = setTimeout(() => resolve(false), timeoutMs) })
    await Promise.race([link.ready, timeout])
    clearTimeout(timer)
    return isUsable(link) ? link.connection : undefined
  }

  private ensureLink (address: string): Link {
    const link = this.links.get(address) ?? { connection: undefined, ready: Promise.resolve(false), nextTryMs: 0, backoffMs: minBackoffMs }
    this.links.set(address, link)
    if (link.connection === undefined && this.options.clock.nowMs() >= link.nextTryMs) this.connect(address, link)
    return link
  }

  private connect (address: string, link: Link): void {
    const { host, port } = this.options.dial.resolve(address)
    const connection = new FrameConnection(connect({ host, port, timeout: frameLimits.handshakeTimeoutMs }), this.options)
    link.connection = connection
    link.ready = new Promise((resolve) => {
      connection.on('ready', (peer) => {
        link.backoffMs = minBackoffMs
        this.options.onReady?.(address, peer)
        resolve(true)
      })
      connection.on('close', (failure) => {
        if (link.connection === connection) link.connection = undefined
        link.nextTryMs = this.options.clock.nowMs() + link.backoffMs
        link.backoffMs = Math.min(maxBackoffMs, link.backoffMs * 2)
        this.options.onClose?.(address, failure)
        resolve(false)
      })
    })
  }
}

function isUsable (link: Link): boolean {
  return link.connection?.isReady ?? false
}
