import { EventEmitter } from 'node:events'
import type { Clock } from '../common/Clock.js'
import type { DialMap } from '../common/DialMap.js'
import type { ConfigDoc } from '../model/ConfigDoc.js'
import type { Digest } from '../model/Digest.js'
import type { View } from '../model/View.js'
import { FrameClient } from '../wire/FrameClient.js'
import type { Message } from '../wire/Message.js'
import type { PeerIdentity } from '../wire/PeerIdentity.js'

/** Identity of the process and address of the agent on the same host. */
interface AgentLinkOptions {
  readonly self: PeerIdentity
  readonly address: string
  readonly clusterKey: string
  readonly dial: DialMap
  readonly clock: Clock
  /** Handles requests from the agent, such as `explain`. */
  readonly onRequest: (message: Message) => Promise<Message | undefined> | Message | undefined
}

/** Events: `config` when a higher configuration version arrives, `view` for every view. */
interface AgentLinkEvents {
  config: [doc: ConfigDoc]
  view: [view: View]
}

const reconnectIntervalMs = 200

/** Connects an entry or lookup process to its agent and keeps the last view while the agent is unavailable. */
export class AgentClient extends EventEmitter<AgentLinkEvents> {
  private readonly client: FrameClient
  private timer: NodeJS.Timeout | undefined
  private lastDoc: ConfigDoc | undefined
  private lastView: View | undefined
  private lastViewMs = -Infinity

  constructor (private readonly options: AgentLinkOptions) {
    super()
    this.client = new FrameClient({ ...options, onMessage: (message) => this.receive(message) })
  }

  get config (): ConfigDoc | undefined {
    return this.lastDoc
  }

  get view (): View | undefined {
    return this.lastView
  }

  /** Age of the last view in ms; `Infinity` before the first view. */
  get viewAgeMs (): number {
    return this.options.clock.nowMs() - this.lastViewMs
  }

  /** Connects to the agent and reconnects after each loss of the connection. */
  start (): void {
    this.connect()
    this.timer ??= setInterval(() => this.connect(), reconnectIntervalMs)
  }

  stop (): void {
    clearInterval(this.timer)
    this.client.close()
  }

  sendDigest (digest: Digest): void {
    this.client.notify(this.options.address, { t: 'digest', digest })
  }

  private connect (): void {
    if (!this.client.isReady(this.options.address)) this.client.notify(this.options.address, { t: 'attach' })
  }

  private receive (message: Message): Promise<Message | undefined> | Message | undefined {
    if (message.t !== 'view') return this.options.onRequest(message)
    if (message.config !== undefined) this.applyConfig(message.config as ConfigDoc)
    this.lastView = message.view as View
    this.lastViewMs = this.options.clock.nowMs()
    this.emit('view', this.lastView)
    return undefined
  }

  private applyConfig (doc: ConfigDoc): void {
    if (this.lastDoc !== undefined && doc.version <= this.lastDoc.version) return
    this.lastDoc = doc
    this.emit('config', doc)
  }
}
