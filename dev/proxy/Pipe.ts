import type { Socket } from 'node:net'
import type { BandwidthGroup } from './BandwidthGroup.js'
import { resetSocket } from './resetSocket.js'

/** What a pipe carries to its sink. */
interface Parcel {
  readonly kind: 'data' | 'end' | 'reset'
  readonly data: Buffer
  readonly dueMs: number
}

/** What a pipe asks its link for. */
interface PipeOptions {
  readonly source: Socket
  readonly sink: Socket
  readonly group: BandwidthGroup | undefined
  readonly delayMs: () => number
  readonly isSilent: () => boolean
  /** Called before data is queued; false drops it. */
  readonly onData: () => boolean
  /** Carries a reset that arrives together with the last bytes on as a reset. */
  readonly findsLateResets: boolean
  /** No data is due before this time, in ms of `performance.now()`. */
  readonly notBeforeMs: number
}

const noData = Buffer.alloc(0)
/** Wait for bandwidth in ms after which the source is paused; keeps the queue in front of a slow group short. */
const maxGroupWaitMs = 20
const maxHeldBytes = 1_048_576

/** One direction of a connection: delays, limits and holds back what the source sends. */
export class Pipe {
  private readonly parcels: Parcel[] = []
  private heldBytes = 0
  private timer: NodeJS.Timeout | undefined

  constructor (private readonly options: PipeOptions) {
    const { source, sink } = options
    source.on('data', (chunk: Buffer) => this.receive(chunk))
    source.on('end', () => this.push(this.wasReset() ? 'reset' : 'end', noData))
    source.on('error', () => this.push('reset', noData))
    sink.on('drain', () => this.resumeSource())
  }

  /** Delivers what is due; called when a silence ends. */
  flush (): void {
    clearTimeout(this.timer)
    this.timer = undefined
    if (this.options.isSilent()) return
    const nowMs = performance.now()
    while (this.parcels.length > 0 && this.parcels[0]!.dueMs <= nowMs + 0.5) this.deliver(this.parcels.shift()!)
    const head = this.parcels[0]
    if (head !== undefined) this.timer = setTimeout(() => this.flush(), Math.max(1, Math.round(head.dueMs - nowMs)))
    this.resumeSource()
  }

  stop (): void {
    clearTimeout(this.timer)
    this.parcels.length = 0
  }

  /**
   * Node.js reports a reset that arrives together with bytes as an end, but then the connection has no peer any more. That
   * is also so when the source has ended in order and a crossing request was answered with a reset, which must stay an end.
   */
  private wasReset (): boolean {
    const { source, findsLateResets } = this.options
    return findsLateResets && source.remoteAddress === undefined && !source.writableEnded
  }

  private receive (chunk: Buffer): void {
    if (!this.options.onData()) return
    this.push('data', chunk)
    if (this.heldBytes > maxHeldBytes) this.options.source.pause()
  }

  private push (kind: Parcel['kind'], data: Buffer): void {
    const nowMs = performance.now()
    const leftMs = this.options.group?.reserve(data.length, nowMs) ?? nowMs
    const lastDueMs = this.parcels[this.parcels.length - 1]?.dueMs ?? 0
    const dueMs = Math.max(leftMs + this.options.delayMs(), lastDueMs, this.options.notBeforeMs)
    this.parcels.push({ kind, data, dueMs })
    this.heldBytes += data.length
    this.waitForGroup(leftMs - nowMs)
    if (this.timer === undefined) this.flush()
  }

  private waitForGroup (waitMs: number): void {
    if (waitMs < maxGroupWaitMs) return
    this.options.source.pause()
    setTimeout(() => this.resumeSource(), waitMs - maxGroupWaitMs / 2)
  }

  private deliver ({ kind, data }: Parcel): void {
    const { sink } = this.options
    this.heldBytes -= data.length
    if (sink.destroyed) return
    if (kind === 'data') sink.write(data)
    else if (kind === 'end') sink.end()
    else resetSocket(sink)
  }

  private resumeSource (): void {
    const { source, sink } = this.options
    if (source.destroyed || this.heldBytes > maxHeldBytes || sink.writableLength > maxHeldBytes) return
    source.resume()
  }
}
