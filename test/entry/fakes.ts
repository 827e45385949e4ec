import { createHash } from 'node:crypto'
import { createServer, request as httpRequest } from 'node:http'
import type { Agent, IncomingMessage, RequestListener, Server } from 'node:http'
import { connect } from 'node:net'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { Claims } from '../../src/claim/Claims.js'
import { ClaimHandle } from '../../src/claim/ClaimHandle.js'
import type { StoredAnswer } from '../../src/claim/StoredAnswer.js'
import { createFailure } from '../../src/common/createFailure.js'
import type { Failure } from '../../src/common/Failure.js'
import { DialMap } from '../../src/common/DialMap.js'
import { Logger } from '../../src/common/Logger.js'
import type { ResultName } from '../../src/common/ResultName.js'
import { SystemClock } from '../../src/common/SystemClock.js'
import type { Settings } from '../../src/config/Settings.js'
import { EntryGateway } from '../../src/entry/EntryGateway.js'
import { RequestMetrics } from '../../src/metrics/RequestMetrics.js'
import type { ConfigDoc } from '../../src/model/ConfigDoc.js'
import type { EndpointSpec } from '../../src/model/EndpointSpec.js'
import type { HostSpec } from '../../src/model/HostSpec.js'
import { AdmissionController } from '../../src/share/AdmissionController.js'
import type { AdmissionRequest } from '../../src/share/AdmissionRequest.js'
import { Permit } from '../../src/share/Permit.js'
import { Steering } from '../../src/steer/Steering.js'
import type { SteerRequest } from '../../src/steer/SteerRequest.js'
import type { SteerTarget } from '../../src/steer/SteerTarget.js'

export const credential = 'demo-a'
export const clock = new SystemClock()
export const clusterKey = 'k'.repeat(32)

export class QuietLogger extends Logger {
  override debug (): void {}
  override info (): void {}
  override warn (): void {}
  override error (event: string, fields?: object): void { console.error(event, fields) }
}

export class FakePermit extends Permit {
  released = 0
  /** Number of times that `enterRegion` returns false before it returns true. */
  regionRefusals = 0
  constructor (public uploadWaitMs: number) { super() }
  override enterRegion (): boolean {
    this.regionRefusals -= 1
    return this.regionRefusals < 0
  }

  override leaveRegion (): void {}
  override reserveUploadBytes (): number { return this.uploadWaitMs }
  override release (): void { this.released += 1 }
}

export class FakeAdmission extends AdmissionController {
  regionRefusals = 0
  refuse: ResultName | undefined
  retries = Infinity
  uploadWaitMs = 0
  readonly permits: FakePermit[] = []
  /** Resolves when waiting requests are admitted; none waits if absent. */
  admits: Promise<void> | undefined
  /** Signals of the requests, aborted when their callers leave. */
  readonly signals: AbortSignal[] = []
  async admit ({ signal }: AdmissionRequest): Promise<Result<Permit, Failure>> {
    if (signal !== undefined) this.signals.push(signal)
    await this.admits
    if (this.refuse !== undefined) return err(createFailure(this.refuse, { retryAfterMs: 1_500 }))
    const permit = new FakePermit(this.uploadWaitMs)
    permit.regionRefusals = this.regionRefusals
    this.permits.push(permit)
    return ok(permit)
  }

  takeRetry (): boolean { return this.retries-- > 0 }
  listUses (): [] { return [] }
}

class FakeHandle extends ClaimHandle {
  constructor (private readonly claims: FakeClaims) { super() }
  isUsable (): boolean { return this.claims.usable }
  settleNotRun (): void { this.claims.settled.push('not-run') }
  settleUnknown (): void { this.claims.settled.push('unknown') }
  settleDone (answer: StoredAnswer | undefined): void {
    this.claims.settled.push('done')
    this.claims.answer = answer
  }
}

export class FakeClaims extends Claims {
  usable = true
  answer: StoredAnswer | undefined
  refuse: Failure | undefined
  readonly settled: string[] = []
  async claim (): ReturnType<Claims['claim']> {
    if (this.refuse !== undefined) return err(this.refuse)
    if (this.answer !== undefined) return ok({ kind: 'done', answer: this.answer })
    return ok({ kind: 'granted', claim: new FakeHandle(this) })
  }

  isCertainlyNotRun (): boolean { return false }

  get keyPrefix (): string { return 'h.1.' }
}

/** Chooses the first target in `targets` that is not excluded. */
export class FakeSteering extends Steering {
  readonly results: string[] = []
  readonly reports: string[] = []
  targets: Array<EndpointSpec | HostSpec> = []
  linkWaitMs = 0
  async choose (request: SteerRequest): Promise<Result<SteerTarget, Failure>> {
    const spec = this.targets.find((candidate) => !request.excluded.has(candidate.name))
    if (spec === undefined) return err(createFailure('noCapacity'))
    const release = (result: string): void => { this.results.push(result) }
    return ok('slots' in spec ? { kind: 'endpoint', endpoint: spec, region: 'r', release } : { kind: 'host', host: spec, region: 's', release })
  }

  async chooseOwned (request: SteerRequest): Promise<Result<SteerTarget, Failure>> { return await this.choose(request) }
  recordReport (endpoint: string, report: { used: number }, probed: boolean): void { this.reports.push(`${endpoint} ${report.used} ${probed}`) }
  reserveLinkBytes (): number { return this.linkWaitMs }
}

export class FakeMetrics extends RequestMetrics {
  readonly events: string[] = []
  refused (name: string, service: string, customer: string): void { this.events.push(`refused ${name} ${service} ${customer}`) }
  retried (name: string): void { this.events.push(`retried ${name}`) }
  replaced (status: number): void { this.events.push(`replaced ${status}`) }
  completed (): void { this.events.push('completed') }
  hedged (): void { this.events.push('hedged') }
  measuredHeadroom (): void {}
  drained (kind: string): void { this.events.push(`drained ${kind}`) }
}

const ports = { caller: 8080, internal: 8081, peer: 8082, lookup: 8083, agent: 8084, operator: 8085, entryAdmin: 8086 }

export function createHost (name: string, address: string): HostSpec {
  return { name, zone: name === 'h' ? 'z' : 'y', address, ports }
}

export function createEndpoint (name: string, address: string): EndpointSpec {
  return { name, service: 'stock', zone: 'z', address, slots: 4, maxConnections: 100 }
}

export function createDoc (hosts: HostSpec[]): ConfigDoc {
  const read = { methods: [], prefix: '', workClass: 'interactive', idempotent: true, defaultDeadlineMs: 3_000, maxBodyBytes: 65_536 } as const
  const contract = {
    customer: 'a',
    version: 1,
    credentialHashes: [createHash('sha256').update(credential).digest('hex')],
    services: ['stock', 'orders', 'intake'],
    rate: 10,
    burst: 10,
    concurrency: 10,
    uploadBytesPerSecond: 1e6,
    regionShare: 1,
    moveStep: 1,
    priority: 1
  }
  return {
    lineage: 'l',
    version: 1,
    zones: [{ name: 'z', region: 'r' }, { name: 'y', region: 's' }],
    hosts,
    services: [
      { name: 'stock', path: 'stock', routes: [read] },
      { name: 'orders', path: 'orders', routes: [{ ...read, workClass: 'order', idempotent: false }] },
      { name: 'intake', path: 'intake', routes: [{ ...read, workClass: 'bulk', idempotent: false, defaultDeadlineMs: 60_000, maxBodyBytes: 50_000_000 }] },
      { name: 'other', path: 'other', routes: [read] }
    ],
    endpoints: [],
    links: [],
    objective: { latency: 1, headroom: 0 },
    contracts: [contract],
    drains: [],
    priorCaps: []
  }
}

/** The data path of one entry host with fake policy modules. */
export class GatewayFixture {
  readonly admission = new FakeAdmission()
  readonly claims = new FakeClaims()
  readonly steering = new FakeSteering()
  readonly metrics = new FakeMetrics()
  readonly gateway: EntryGateway
  private readonly servers: Server[] = []

  constructor (readonly address: string, limits: Partial<{ maxConnections: number, maxHeaderBytes: number, headersTimeoutMs: number, idleTimeoutMs: number }> = {}, name = 'h', tls?: { cert: string, key: string }) {
    this.gateway = new EntryGateway({
      host: name,
      address,
      ports,
      clusterKey,
      clock,
      dial: new DialMap(),
      logger: new QuietLogger(),
      metrics: this.metrics,
      admission: this.admission,
      claims: this.claims,
      steering: this.steering,
      tls,
      limits: { maxConnections: 1_000, maxHeaderBytes: 16_384, headersTimeoutMs: 5_000, idleTimeoutMs: 5_000, ...limits }
    })
  }

  async start (): Promise<this> {
    this.gateway.setConfig(createDoc([createHost('h', this.address)]))
    await this.gateway.listen()
    return this
  }

  /** Starts an upstream on the address of the fixture and adds it to the targets. */
  async startUpstream (port: number, listener: RequestListener): Promise<EndpointSpec> {
    const server = createServer(listener)
    await new Promise<void>((resolve) => server.listen(port, this.address, resolve))
    this.servers.push(server)
    const spec = createEndpoint(`e${port}`, `${this.address}:${port}`)
    this.steering.targets.push(spec)
    return spec
  }

  async stop (): Promise<void> {
    this.gateway.close()
    for (const server of this.servers) {
      server.closeAllConnections()
      server.close()
    }
  }
}

/** Creates fake policy modules for the daemon; `stoppedModules` lists those whose `prepareStop` was called. */
export function createModules () {
  const stoppedModules: string[] = []
  const base = (name: string) => ({ setConfig () {}, setView () {}, tick () {}, handleMessage: () => undefined, prepareStop () { stoppedModules.push(name) } })
  const steer = Object.assign(new FakeSteering(), base('steer'), {
    probes: [] as EndpointSpec[],
    takeDueProbes: () => steer.probes.splice(0),
    recordProbeFailure: (endpoint: string) => { steer.reports.push(`${endpoint} failed`) },
    listLoads: () => [],
    listLeavingEndpoints: () => [],
    drainInFlight: () => ({}),
    explain: () => [{ step: 'own-endpoints', detail: 'none' }]
  })
  return {
    stoppedModules,
    share: Object.assign(new FakeAdmission(), base('share'), { appliedVersion: 1 }),
    claim: Object.assign(new FakeClaims(), base('claim')),
    steer
  }
}

export function createSettings (address: string): Settings {
  return {
    host: 'h',
    zone: 'z',
    address,
    ports,
    clusterKey,
    operators: [],
    platform: { url: 'http://127.22.0.1:1', timeoutMs: 1 },
    seeds: [],
    dial: {},
    log: {},
    stopTimeoutMs: 10_000,
    limits: { maxConnections: 1_000, maxHeaderBytes: 16_384, headersTimeoutMs: 5_000, idleTimeoutMs: 5_000 }
  }
}

interface TestResponse {
  readonly status: number
  readonly headers: IncomingMessage['headers']
  readonly body: string
}

interface CallOptions {
  readonly method?: string
  readonly headers?: Record<string, string | string[]>
  readonly body?: string | Buffer
  readonly agent?: Agent | false
  readonly port?: number
}

/** Sends one request with the credential; rejects if the response is incomplete. */
export async function call (address: string, path: string, options: CallOptions = {}): Promise<TestResponse> {
  return await new Promise((resolve, reject) => {
    const { method = 'GET', headers = {}, body, agent = false, port = 8080 } = options
    const req = httpRequest({ host: address, port, path, method, agent, headers: { authorization: `Bearer ${credential}`, ...headers } }, (res) => {
      const chunks: Buffer[] = []
      res.on('data', (chunk: Buffer) => chunks.push(chunk))
      res.on('error', reject)
      res.on('end', () => resolve({ status: res.statusCode!, headers: res.headers, body: Buffer.concat(chunks).toString() }))
    })
    req.on('error', reject)
    req.end(body)
  })
}

/** Sends raw bytes and returns the bytes received until the connection closes. */
export async function sendRaw (address: string, text: string, port = 8080): Promise<string> {
  return await new Promise((resolve, reject) => {
    const socket = connect(port, address, () => socket.write(text, 'latin1'))
    let received = ''
    socket.on('data', (chunk) => { received += chunk.toString('latin1') })
    socket.on('error', reject)
    socket.on('close', () => resolve(received))
  })
}

export async function pause (ms: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, ms))
}
