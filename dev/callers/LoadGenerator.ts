import { SeededRandom } from '../common/SeededRandom.js'
import type { Cluster } from '../Cluster.js'
import { Caller } from './Caller.js'
import type { CallRecord } from './CallRecord.js'
import type { TrafficStream } from './TrafficStream.js'

/** A stream with its callers and the time of its next request. */
interface RunningStream {
  readonly stream: TrafficStream
  readonly callers: readonly Caller[]
  readonly random: SeededRandom
  nextMs: number
}

const defaultCallers = 3
const maxSleepMs = 20
/** Longer than the longest default deadline of a request, that of uploads. */
const maxStopMs = 30_000

/**
 * Open-loop load generator: sends requests at their planned arrival times, whether or not earlier ones were answered, so
 * that a slow system doesn't reduce the load. Latency counts from the time at which a request was due.
 */
export class LoadGenerator {
  readonly records: CallRecord[] = []
  /** Ids of requests that have not finished. */
  readonly pending = new Set<string>()
  private readonly streams: RunningStream[] = []
  private readonly startMs = performance.now()
  private sentCount = 0
  private stopped = false
  private timer: NodeJS.Timeout | undefined

  /** `name` makes the request ids of this generator unique. */
  constructor (private readonly cluster: Cluster, private readonly name: string, private readonly seed: number) {}

  add (stream: TrafficStream): void {
    const index = this.streams.length
    const random = new SeededRandom(this.seed * 1_000 + index)
    const callers = Array.from({ length: stream.callers ?? defaultCallers }, (_, caller) => this.createCaller(stream, index, caller))
    const firstMs = Math.max(performance.now() - this.startMs, stream.fromMs ?? 0)
    this.streams.push({ stream, callers, random, nextMs: firstMs + random.exponential(1_000 / stream.ratePerSecond) })
  }

  /** Starts sending requests, until `stop` is called. */
  start (): void {
    this.tick()
  }

  /** Sends requests for `durationMs`, then waits until all have finished. */
  async run (durationMs: number): Promise<void> {
    this.start()
    await new Promise((resolve) => setTimeout(resolve, durationMs))
    await this.stop()
  }

  /** Stops sending and waits until all requests have finished. */
  async stop (): Promise<void> {
    this.stopped = true
    clearTimeout(this.timer)
    const endMs = performance.now() + maxStopMs
    while (this.pending.size > 0 && performance.now() < endMs) await new Promise((resolve) => setTimeout(resolve, maxSleepMs))
    if (this.pending.size > 0) process.stderr.write(`requests that did not finish: ${[...this.pending].join(' ')}\n`)
    for (const { callers } of this.streams) {
      for (const caller of callers) caller.close()
    }
  }

  private createCaller (stream: TrafficStream, index: number, caller: number): Caller {
    const { cluster } = this
    const dial = (target: string): string => cluster.clientAddress(stream.region, target)
    const near = cluster.deployment.hosts.filter(({ zone }) => cluster.regionOf(zone) === stream.region)
    const far = cluster.deployment.hosts.filter((host) => !near.includes(host))
    const port = cluster.policy === 'project' ? 'lookup' : 'caller'
    const ordered = [...near.slice(caller % near.length), ...near.slice(0, caller % near.length), ...far]
    return new Caller({
      stream,
      lookups: ordered.map(({ address, ports }) => dial(`${address}:${ports[port]}`)),
      clientIp: `10.${index % 250}.${Math.floor(caller / 250)}.${1 + caller % 250}`,
      dial,
      hostUrl: (name) => `http://${cluster.host(name).address}:${cluster.host(name).ports.caller}`
    })
  }

  private tick (): void {
    if (this.stopped) return
    const nowMs = performance.now() - this.startMs
    for (const running of this.streams) this.sendDue(running, nowMs)
    const nextMs = Math.min(...this.streams.map((running) => running.nextMs))
    this.timer = setTimeout(() => this.tick(), Math.max(0, Math.min(maxSleepMs, nextMs - nowMs)))
  }

  private sendDue (running: RunningStream, nowMs: number): void {
    const { stream, callers, random } = running
    while (running.nextMs <= nowMs) {
      if (running.nextMs > (stream.untilMs ?? Infinity)) {
        running.nextMs = Infinity
        return
      }
      this.sentCount += 1
      this.send(callers[random.integer(callers.length)]!, `${this.name}-${this.sentCount}`, this.startMs + running.nextMs)
      running.nextMs += random.exponential(1_000 / stream.ratePerSecond)
    }
  }

  private send (caller: Caller, requestId: string, intendedMs: number): void {
    this.pending.add(requestId)
    caller.call(requestId, intendedMs)
      .then((record) => { this.records.push(record) })
      .catch((err: unknown) => { throw err })
      .finally(() => { this.pending.delete(requestId) })
  }
}
