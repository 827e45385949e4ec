import type { Clock } from '../common/Clock.js'
import type { Logger } from '../common/Logger.js'
import type { View } from '../model/View.js'
import type { FrameConnection } from '../wire/FrameConnection.js'
import type { Message } from '../wire/Message.js'
import type { PeerIdentity } from '../wire/PeerIdentity.js'
import type { ConfigHolder } from './ConfigHolder.js'

interface ViewPublisherOptions {
  readonly holder: ConfigHolder
  readonly clock: Clock
  readonly log: Logger
  readonly buildView: () => Omit<View, 'seq'>
}

/** A connected entry or lookup process. */
interface Subscriber {
  readonly role: PeerIdentity['role']
  /** Last configuration version sent on this connection. */
  sentVersion: number
}

/** Maximum interval in ms between two views; receivers treat a view as stale after 2 s. */
const viewIntervalMs = 500
/** Delays in ms for coalescing changes into one view. */
const urgentCoalesceMs = 10
const coalesceMs = 250

/** Publishes views to the entry and lookup processes of the same host. */
export class ViewPublisher {
  private readonly subscribers = new Map<FrameConnection, Subscriber>()
  private seq = 0
  private lastPublishMs = -Infinity
  private coalesceTimer: NodeJS.Timeout | undefined
  private isUrgent = false

  constructor (private readonly options: ViewPublisherOptions) {}

  add (connection: FrameConnection, role: PeerIdentity['role']): void {
    this.subscribers.set(connection, { role, sentVersion: 0 })
    this.publish()
  }

  remove (connection: FrameConnection): void {
    this.subscribers.delete(connection)
  }

  /** Returns the connection of the entry process; undefined when it is not connected. */
  findEntry (): FrameConnection | undefined {
    return [...this.subscribers].find(([connection, { role }]) => role === 'entry' && connection.isReady)?.[0]
  }

  /** Schedules a view that coalesces changes; changes that are not urgent are delayed longer. */
  schedule (urgent: boolean): void {
    if (this.coalesceTimer !== undefined && (this.isUrgent || !urgent)) return
    this.stop()
    this.isUrgent = urgent
    this.coalesceTimer = setTimeout(() => this.publish(), urgent ? urgentCoalesceMs : coalesceMs)
  }

  /** Publishes a view when the interval since the last one has passed. */
  tick (): void {
    if (this.options.clock.nowMs() - this.lastPublishMs >= viewIntervalMs) this.publish()
  }

  stop (): void {
    clearTimeout(this.coalesceTimer)
    this.coalesceTimer = undefined
  }

  private publish (): void {
    this.stop()
    this.lastPublishMs = this.options.clock.nowMs()
    if (this.subscribers.size === 0) return
    this.seq += 1
    const view = { seq: this.seq, ...this.options.buildView() }
    for (const [connection, subscriber] of this.subscribers) this.send(connection, subscriber, view)
  }

  private send (connection: FrameConnection, subscriber: Subscriber, view: View): void {
    const { held } = this.options.holder
    const config = held !== undefined && held.doc.version !== subscriber.sentVersion ? held.doc : undefined
    const message: Message = config === undefined ? { t: 'view', view } : { t: 'view', view, config }
    try {
      if (connection.notify(message) && config !== undefined) subscriber.sentVersion = config.version
    } catch (err) {
      // encodeFrame throws when the view exceeds the size limit of a frame.
      this.options.log.error('view-not-sent', { role: subscriber.role, message: err instanceof Error ? err.message : 'unknown' })
    }
  }
}
