import { Agent } from 'node:http'
import { sleep } from '../../src/common/sleep.js'
import { Guard } from '../cluster/Guard.js'
import { sendRequest } from '../common/sendRequest.js'
import { SoakHost } from '../soak/SoakHost.js'
import { PlatformEndpoint } from '../store/PlatformEndpoint.js'
import { StoreServer } from '../store/StoreServer.js'
import { readCpuMs } from './readCpuMs.js'

/** Program, loopback network and folder of a host that is measured. */
interface HostUnderLoadPlan {
  readonly script: string
  /** Second octet of the loopback addresses. */
  readonly network: number
  /** Folder for the settings file and the log. */
  readonly folder: string
}

/** Load of one phase. */
interface LoadPhase {
  readonly requests: number
  /** Callers that send one request after the other. */
  readonly callers: number
  /** Opens a connection for each request. */
  readonly usesNewConnections: boolean
}

const endpointCount = 4
const slots = 32
const objectCount = 60
const startTimeoutMs = 10_000
const requestTimeoutMs = 5_000
const pollMs = 25
const okStatus = 200
const route = { host: 'shop.example', prefix: '/read/', kind: 'idempotent', timeout_s: 2, target_latency_s: 0.5, priority: 1, service: 'stock', max_attempts: 2, session_affinity: true, allowed_regions: [] }

/** A host process on the platform's interface with stand-ins of the store and the endpoints in this process. */
export class HostUnderLoad {
  private readonly guard = new Guard()
  private readonly store = new StoreServer()
  private readonly endpoints: PlatformEndpoint[] = []
  private host: SoakHost | undefined

  constructor (private readonly plan: HostUnderLoadPlan) {}

  async start (): Promise<void> {
    const { script, network, folder } = this.plan
    const storeAddress = await this.store.listen()
    this.store.tables.put('op', 'config', {
      version: '00000001',
      routes: { 'r-read': route },
      services: { stock: { health_path: '/health', max_connections: 400 } },
      limits: { header_bytes: 16_384, body_bytes: 1_000_000, header_timeout_s: 3, idle_timeout_s: 15 }
    })
    for (let index = 0; index < endpointCount; index++) {
      const endpoint = new PlatformEndpoint(`e-${index}`, slots)
      await endpoint.listen()
      this.endpoints.push(endpoint)
      this.store.tables.put('servers', endpoint.id, endpoint.describe('stock', 'north-a'))
    }
    this.host = new SoakHost({
      name: `host-${network}`, address: `127.${network}.1.1`, zone: 'north-a', region: 'north', zones: { 'north-a': 'north' }, dial: {}, storeAddress, seeds: [], folder, script, nodeArgs: []
    }, this.guard)
    this.host.start()
    await this.waitForReady(this.host)
  }

  /** Sends the requests of a phase and returns the processor time in µs that the host used for one. */
  async measure ({ requests, callers, usesNewConnections }: LoadPhase): Promise<number> {
    const { host, endpoints } = this
    if (host?.process.pid === undefined) throw new Error('the host has not been started')
    // What endpoints record of each run would slow this process down from phase to phase.
    for (const endpoint of endpoints) endpoint.runs.length = 0
    const beforeMs = readCpuMs(host.process.pid)
    let sent = 0
    await Promise.all(Array.from({ length: callers }, async () => {
      const agent = new Agent({ keepAlive: !usesNewConnections, maxSockets: 1 })
      while (sent < requests) {
        sent += 1
        await this.send(host, sent, agent)
      }
      agent.destroy()
    }))
    return (readCpuMs(host.process.pid) - beforeMs) * 1_000 / sent
  }

  async close (): Promise<void> {
    this.host?.process.signal('SIGKILL')
    for (const endpoint of this.endpoints) endpoint.close()
    this.store.close()
    await this.guard.close()
  }

  private async send (host: SoakHost, index: number, agent: Agent): Promise<void> {
    const headers = { Host: 'shop.example', 'X-Request-Id': `q-${index}`, 'X-Deadline-Ms': '2000', Cookie: `X-Affinity-Key=${index % objectCount}` }
    const { status } = await sendRequest(`http://${host.callerAddress}/read/${index % objectCount}`, { agent, headers, timeoutMs: requestTimeoutMs })
    if (status !== okStatus) throw new Error(`request q-${index} got status ${status}`)
  }

  private async waitForReady (host: SoakHost): Promise<void> {
    const endMs = performance.now() + startTimeoutMs
    for (;;) {
      const status = await sendRequest(`http://${host.readinessAddress}/v1/readiness`, { timeoutMs: requestTimeoutMs }).then((response) => response.status, () => 0)
      if (status === okStatus) return
      if (performance.now() > endMs) throw new Error(`host "${host.name}" is not ready:\n${host.process.readLogTail()}`)
      await sleep(pollMs)
    }
  }
}
