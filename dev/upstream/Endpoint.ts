import { createHash } from 'node:crypto'
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { SeededRandom } from '../common/SeededRandom.js'
import type { EndpointSpec } from '../../src/model/EndpointSpec.js'
import type { ServiceSpec } from '../../src/model/ServiceSpec.js'
import type { WorkClass } from '../../src/model/WorkClass.js'
import { responseBody } from './responseBody.js'
import { classifyRequest } from './classifyRequest.js'
import type { EndpointFaults } from './EndpointFaults.js'
import type { Truth } from './Truth.js'
import type { TruthReport } from './TruthReport.js'

/** Specification of an endpoint, its service times and the ground truth that it records to. */
interface EndpointOptions {
  readonly spec: EndpointSpec
  readonly region: string
  readonly service: ServiceSpec
  readonly meanServiceMs: Readonly<Record<WorkClass, number>>
  readonly seed: number
  readonly truth: Truth
}

/** A request in progress at the endpoint. */
interface Job {
  readonly arrival: Parameters<Truth['recordArrival']>[0]
  readonly workClass: WorkClass
  readonly req: IncomingMessage
  readonly res: ServerResponse
  readonly path: string
  state: 'queued' | 'reading' | 'working' | 'done'
  received: number
  receivedHash: string
  deadlineTimer: NodeJS.Timeout | undefined
  workTimer: NodeJS.Timeout | undefined
}

const probeCostMs = 6
const connectionCostMs = 1
const coldDurationMs = 8_000
const coldFactor = 4
const drainGraceMs = 3_000
const defaultResponseBytes = 200
const maxResponseBytes = 67_108_864

/** Simulates one endpoint of a service with slots, a short queue, load reports and injected faults. */
export class Endpoint {
  readonly faults: EndpointFaults = {
    state: 'ready', reports: 'true', lieUsed: 0, answers: 'normal', answerCount: 0, lateMs: 0, serviceScale: 1, refuse: false
  }

  private readonly random: SeededRandom
  private readonly queue: Job[] = []
  private readonly jobs = new Set<Job>()
  private server: Server | undefined
  /** Number of slots in use by requests. */
  private busySlots = 0
  /** Number of slots in use by probes and new connections. */
  private overheadSlots = 0
  private deferredOverheadMs = 0
  private coldSinceMs = 0
  private frozenReport = ''
  private drainSignMs = 0
  private lastNewWorkMs = 0
  private emptyMs = 0
  private lateNewWork = 0
  private served = 0
  private connections = 0
  private peakConnections = 0

  constructor (private readonly options: EndpointOptions) {
    this.random = new SeededRandom(options.seed)
  }

  get spec (): EndpointSpec {
    return this.options.spec
  }

  async open (): Promise<void> {
    const server = createServer({ keepAliveTimeout: 120_000, requestTimeout: 0 }, (req, res) => this.receive(req, res))
    server.maxConnections = this.spec.maxConnections
    server.on('connection', (socket) => this.countConnection(socket))
    server.on('clientError', (_err, socket) => socket.destroy())
    this.server = server
    const [host, port] = this.spec.address.split(':')
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(Number(port), host, resolve)
    })
  }

  /** Closes the port and all connections, as when the process exits. */
  async close (): Promise<void> {
    const server = this.server
    this.server = undefined
    if (server === undefined) return
    const closed = new Promise<void>((resolve) => server.close(() => resolve()))
    server.closeAllConnections()
    await closed
  }

  async setFaults (changes: Partial<EndpointFaults>): Promise<void> {
    if (changes.state === 'cold') this.coldSinceMs = Date.now()
    if (changes.state === 'ready') this.clearDrain()
    if (changes.reports === 'freeze') this.frozenReport = this.describeLoad()
    Object.assign(this.faults, changes)
    if (changes.answers !== undefined && changes.answerCount === undefined) this.faults.answerCount = Infinity
    if (changes.refuse === true) await this.close()
    if (changes.refuse === false && this.server === undefined) await this.open()
  }

  /** Records that the drain was announced to the system at `atMs`. */
  markDrain (atMs: number): void {
    if (this.drainSignMs === 0) this.drainSignMs = atMs
    if (this.jobs.size === 0) this.emptyMs = Math.max(this.emptyMs, atMs)
  }

  clearDrain (): void {
    this.drainSignMs = 0
    this.lastNewWorkMs = 0
    this.emptyMs = 0
  }

  describeTruth (): TruthReport['endpoints'][string] {
    return {
      slots: this.spec.slots,
      inFlight: this.jobs.size,
      served: this.served,
      drainSignMs: this.drainSignMs,
      lastNewWorkMs: this.lastNewWorkMs,
      emptyMs: this.emptyMs,
      lateNewWork: this.lateNewWork,
      peakConnections: this.peakConnections
    }
  }

  private countConnection (socket: { on: (event: 'close', listener: () => void) => unknown }): void {
    this.options.truth.incrementTotal('connections')
    this.connections += 1
    this.peakConnections = Math.max(this.peakConnections, this.connections)
    socket.on('close', () => { this.connections -= 1 })
    this.occupySlot(connectionCostMs)
  }

  /** Occupies a free slot for `ms`, or adds `ms` to the next request's service time when no slot is free. */
  private occupySlot (ms: number): void {
    if (this.busySlots + this.overheadSlots >= this.spec.slots) {
      this.deferredOverheadMs += ms
      return
    }
    this.overheadSlots += 1
    setTimeout(() => {
      this.overheadSlots -= 1
      this.startQueued()
    }, ms)
  }

  private receive (req: IncomingMessage, res: ServerResponse): void {
    const url = new URL(req.url ?? '/', 'http://endpoint')
    if (url.pathname === '/health' && req.method === 'GET' && req.headers['shunt-customer'] === undefined) return this.respondToProbe(res)
    const { workClass, idempotent } = classifyRequest(this.options.service, req.method ?? 'GET', url.pathname)
    if (this.busySlots + this.overheadSlots >= this.spec.slots && this.queue.length >= this.spec.slots) return this.shed(req, res)
    const arrival = {
      customer: readHeader(req, 'shunt-customer') ?? 'unnamed',
      requestId: readHeader(req, 'shunt-request-id') ?? 'unnamed',
      key: readHeader(req, 'idempotency-key'),
      endpoint: this.spec.name,
      service: this.spec.service,
      region: this.options.region,
      idempotent
    }
    this.accept({ arrival, workClass, req, res, path: req.url ?? '/', state: 'queued', received: 0, receivedHash: '', deadlineTimer: undefined, workTimer: undefined })
  }

  private accept (job: Job): void {
    this.options.truth.recordArrival(job.arrival)
    this.jobs.add(job)
    this.recordNewWork()
    const deadlineMs = Number(readHeader(job.req, 'shunt-deadline-ms') ?? NaN)
    if (deadlineMs >= 0) job.deadlineTimer = setTimeout(() => this.expire(job), deadlineMs)
    job.res.on('close', () => this.finish(job, job.state === 'done' ? undefined : 'cancelled'))
    this.queue.push(job)
    this.startQueued()
  }

  private recordNewWork (): void {
    if (this.drainSignMs === 0) return
    this.lastNewWorkMs = Date.now()
    this.emptyMs = 0
    if (this.lastNewWorkMs - this.drainSignMs > drainGraceMs) this.lateNewWork += 1
  }

  private startQueued (): void {
    while (this.busySlots + this.overheadSlots < this.spec.slots) {
      const job = this.queue.shift()
      if (job === undefined) return
      this.busySlots += 1
      job.state = 'reading'
      this.readBody(job)
    }
  }

  private readBody (job: Job): void {
    const hash = createHash('sha256')
    job.req.on('data', (chunk: Buffer) => {
      job.received += chunk.length
      hash.update(chunk)
    })
    job.req.on('end', () => {
      if (job.state !== 'reading') return
      if (job.received > 0) job.receivedHash = hash.digest('hex')
      this.startService(job)
    })
  }

  private startService (job: Job): void {
    job.state = 'working'
    this.options.truth.recordRun(job.arrival)
    const mean = this.options.meanServiceMs[job.workClass] * this.faults.serviceScale * this.currentColdFactor()
    const serviceMs = this.random.exponential(mean) + this.deferredOverheadMs
    this.deferredOverheadMs = 0
    job.workTimer = setTimeout(() => this.respond(job), serviceMs + this.faults.lateMs)
  }

  private currentColdFactor (): number {
    if (this.faults.state !== 'cold') return 1
    const remainingShare = 1 - (Date.now() - this.coldSinceMs) / coldDurationMs
    if (remainingShare > 0) return 1 + coldFactor * remainingShare
    this.faults.state = 'ready'
    return 1
  }

  private respond (job: Job): void {
    const fault = this.consumeResponseFault()
    if (fault === 'hang') return
    if (fault === 'reset') {
      job.req.socket.resetAndDestroy()
      return
    }
    const bytes = Number(new URL(job.path, 'http://endpoint').searchParams.get('bytes') ?? defaultResponseBytes)
    const body = responseBody.create({
      requestId: job.arrival.requestId,
      customer: job.arrival.customer,
      path: job.path,
      received: job.received,
      receivedHash: job.receivedHash,
      fillBytes: Math.min(maxResponseBytes, bytes)
    })
    if (fault !== 'normal') return this.sendPartialResponse(job, body, fault)
    job.state = 'done'
    this.served += 1
    // The slot is released when the service time has passed, before the response has been sent.
    this.finish(job, undefined)
    this.writeHead(job, 200, body.length)
    job.res.end(body)
  }

  private consumeResponseFault (): EndpointFaults['answers'] {
    if (this.faults.answers === 'normal' || this.faults.answerCount <= 0) return 'normal'
    this.faults.answerCount -= 1
    return this.faults.answers
  }

  /** Sends half of the response and then ends or resets the connection. */
  private sendPartialResponse (job: Job, body: Buffer, fault: 'die' | 'truncate'): void {
    this.writeHead(job, 200, body.length)
    job.res.write(body.subarray(0, Math.floor(body.length / 2)), () => {
      const socket = job.req.socket
      if (fault === 'die') setTimeout(() => socket.resetAndDestroy(), 5)
      else socket.end()
    })
  }

  private expire (job: Job): void {
    if (job.state === 'done') return
    this.options.truth.incrementTotal('deadlines')
    job.state = 'done'
    this.finish(job, undefined)
    if (job.res.headersSent || job.res.destroyed) return
    this.writeHead(job, 504, 0)
    job.res.end()
  }

  /** Releases the job's timers and its slot or queue position; a repeated call has no effect. */
  private finish (job: Job, reason: 'cancelled' | undefined): void {
    if (!this.jobs.delete(job)) return
    if (reason !== undefined) this.options.truth.incrementTotal(reason)
    clearTimeout(job.deadlineTimer)
    clearTimeout(job.workTimer)
    const queueIndex = this.queue.indexOf(job)
    if (queueIndex >= 0) this.queue.splice(queueIndex, 1)
    else this.busySlots -= 1
    job.state = 'done'
    this.options.truth.recordEnd(job.arrival)
    if (this.jobs.size === 0 && this.drainSignMs > 0) this.emptyMs = Date.now()
    this.startQueued()
  }

  private shed (req: IncomingMessage, res: ServerResponse): void {
    this.options.truth.recordShed({ region: this.options.region, service: this.spec.service })
    this.setLoadHeader(res)
    res.writeHead(503, { 'content-length': 0, 'upstream-not-run': '1', 'shunt-request-id': readHeader(req, 'shunt-request-id') ?? 'unnamed' })
    res.end()
  }

  private respondToProbe (res: ServerResponse): void {
    this.options.truth.incrementTotal('probes')
    this.occupySlot(probeCostMs)
    if (this.faults.reports === 'stop' || this.faults.answers === 'hang') return
    const { state, used, slots } = parseLoadReport(this.currentLoadReport())
    const body = JSON.stringify({ state, used, slots })
    res.writeHead(200, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) })
    res.end(body)
  }

  private writeHead ({ res, arrival }: Job, status: number, length: number): void {
    this.setLoadHeader(res)
    res.writeHead(status, { 'content-type': 'application/octet-stream', 'content-length': length, 'shunt-request-id': arrival.requestId })
  }

  private setLoadHeader (res: ServerResponse): void {
    if (this.faults.reports !== 'stop') res.setHeader('Upstream-Load', this.currentLoadReport())
  }

  private currentLoadReport (): string {
    if (this.faults.reports === 'freeze') return this.frozenReport
    // The endpoint announces its drain to the system with this report.
    if (this.faults.state === 'draining' && this.drainSignMs === 0) this.markDrain(Date.now())
    return this.describeLoad()
  }

  private describeLoad (): string {
    this.currentColdFactor()
    const used = this.faults.reports === 'lie' ? this.faults.lieUsed : this.busySlots
    return `used=${used};slots=${this.spec.slots};state=${this.faults.state}`
  }
}

function readHeader (req: IncomingMessage, name: string): string | undefined {
  const value = req.headers[name]
  return typeof value === 'string' ? value : undefined
}

function parseLoadReport (report: string): { state: string, used: number, slots: number } {
  const fields = Object.fromEntries(report.split(';').map((part) => part.split('=') as [string, string]))
  return { state: fields.state ?? 'ready', used: Number(fields.used), slots: Number(fields.slots) }
}
