import type { Socket } from 'node:net'
import type { BandwidthGroup } from './BandwidthGroup.js'
import { resetSocket } from './resetSocket.js'

/** Data, an end or a reset that is queued for the sink. */
interface PipeEvent {
  readonly kind: 'data' | 'end' | 'reset'
  readonly data: Buffer
  readonly dueMs: number
}

/** Sockets, bandwidth and faults of a pipe. */
interface PipeOptions {
  readonly source: Socket
  readonly sink: Socket
  readonly group: BandwidthGroup | undefined
  readonly delayMs: () => number
  readonly isSilent: () => boolean
  /** Invoked before data is queued; false discards the data. */
  readonly admit: () => boolean
  /** Passes on a reset that arrives together with the last bytes as a reset. */
  readonly findsLateResets: boolean
  /** Earliest time at which data is delivered, in ms of `performance.now()`. */
  readonly notBeforeMs: number
}

const noData = Buffer.alloc(0)
/** Wait for bandwidth in ms above which the source is paused, so that the queue of a slow group stays short. */
const maxBandwidthWaitMs = 20
const maxQueuedBytes = 1_048_576

/** One direction of a connection; delays and throttles the data of the source, and queues it while the link is silent. */
export class Pipe {
  private readonly queue: PipeEvent[] = []
  private queuedBytes = 0
  private timer: NodeJS.Timeout | undefined

  constructor (private readonly options: PipeOptions) {
    const { source, sink } = options
    source.on('data', (chunk: Buffer) => this.receive(chunk))
    source.on('end', () => this.enqueue(this.wasReset() ? 'reset' : 'end', noData))
    source.on('error', () => this.enqueue('reset', noData))
    sink.on('drain', () => this.resumeSource())
  }

  /** Delivers everything that is due and schedules the next delivery; also called when the faults of the link change. */
  deliverDue (): void {
    clearTimeout(this.timer)
    this.timer = undefined
    if (this.options.isSilent()) return
    const nowMs = performance.now()
    while (this.queue.length > 0 && this.queue[0]!.dueMs <= nowMs + 0.5) this.deliver(this.queue.shift()!)
    const head = this.queue[0]
    if (head !== undefined) this.timer = setTimeout(() => this.deliverDue(), Math.max(1, Math.round(head.dueMs - nowMs)))
    this.resumeSource()
  }

  stop (): void {
    clearTimeout(this.timer)
    this.queue.length = 0
  }

  /**
   * Detects a reset that arrived together with data, which Node.js reports as an end: the socket then has no remote address.
   * The address is also missing when the source ended in order and then reset because of a request that crossed the end. That
   * must stay an end; it is recognized by the source's writable side, which has ended.
   */
  private wasReset (): boolean {
    const { source, findsLateResets } = this.options
    return findsLateResets && source.remoteAddress === undefined && !source.writableEnded
  }

  private receive (chunk: Buffer): void {
    if (!this.options.admit()) return
    this.enqueue('data', chunk)
    if (this.queuedBytes > maxQueuedBytes) this.options.source.pause()
  }

  private enqueue (kind: PipeEvent['kind'], data: Buffer): void {
    const nowMs = performance.now()
    const departureMs = this.options.group?.reserve(data.length, nowMs) ?? nowMs
    const lastDueMs = this.queue[this.queue.length - 1]?.dueMs ?? 0
    const dueMs = Math.max(departureMs + this.options.delayMs(), lastDueMs, this.options.notBeforeMs)
    this.queue.push({ kind, data, dueMs })
    this.queuedBytes += data.length
    this.pauseForBandwidth(departureMs - nowMs)
    if (this.timer === undefined) this.deliverDue()
  }

  private pauseForBandwidth (waitMs: number): void {
    if (waitMs < maxBandwidthWaitMs) return
    this.options.source.pause()
    setTimeout(() => this.resumeSource(), waitMs - maxBandwidthWaitMs / 2)
  }

  private deliver ({ kind, data }: PipeEvent): void {
    const { sink } = this.options
    this.queuedBytes -= data.length
    if (sink.destroyed) return
    if (kind === 'data') sink.write(data)
    else if (kind === 'end') sink.end()
    else resetSocket(sink)
  }

  private resumeSource (): void {
    const { source, sink } = this.options
    if (source.destroyed || this.queuedBytes > maxQueuedBytes || sink.writableLength > maxQueuedBytes) return
    source.resume()
  }
}
