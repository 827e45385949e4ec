import { request } from 'node:http'
import type { IncomingHttpHeaders, RequestOptions } from 'node:http'
import { connect } from 'node:net'
import { Registry } from 'prom-client'
import { PlatformHttpBinding } from '../../platform/PlatformHttpBinding.js'
import { HttpCatalogStore } from '../../platform/HttpCatalogStore.js'
import { SystemClock } from '../../src/common/SystemClock.js'
import { HostProcess } from '../../src/host/HostProcess.js'
import { RejectedInput } from '../../src/metrics/RejectedInput.js'
import type { HostSettings } from '../../src/host/HostSettings.js'
import { PlatformEndpoint } from '../../dev/store/PlatformEndpoint.js'
import { StoreServer } from '../../dev/store/StoreServer.js'
import { CuttableStore } from './CuttableStore.js'
import { createHostSettings } from './createHostSettings.js'
import { createRouteDoc } from './createRouteDoc.js'
import { findFreeAddresses } from './findFreeAddresses.js'
import type { LimitedLinks } from './LimitedLinks.js'
import { MemoryLogger } from './MemoryLogger.js'
import type { RawEndpoint } from './RawEndpoint.js'
import { waitUntil } from './waitUntil.js'

/** An answer received by a test. */
interface CallerAnswer {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly body: string
}

/** A request sent by a test. */
interface CallerRequest {
  readonly method?: string
  readonly path?: string
  readonly id?: string
  readonly object?: string
  readonly deadlineMs?: number
  readonly body?: string
  readonly host?: string
}

/** Routes of a group's initial configuration. */
const routes = {
  'r-read': createRouteDoc('/read/', { session_affinity: true }),
  'r-order': createRouteDoc('/order/', { kind: 'non_idempotent', priority: 1, session_affinity: true })
}

/** Runs `HostProcess` instances in the test's own process, with stand-ins for the store and the endpoints, all on loopback ports. */
export class HostGroup {
  readonly store = new StoreServer()
  readonly logger = new MemoryLogger()
  readonly hosts: HostProcess[] = []
  /** The store as each host reaches it. */
  readonly hostStores: CuttableStore[] = []
  readonly settings: HostSettings[] = []
  readonly endpoints: PlatformEndpoint[] = []
  private readonly rawEndpoints: RawEndpoint[] = []
  private storeAddress = ''
  private version = 0

  /** Hosts are placed in the regions in turn; all endpoints are in `north`. */
  constructor (private readonly regions: readonly string[], private readonly links: LimitedLinks | undefined) {}

  /** Starts a store with a configuration, endpoints of service `stock`, and hosts, and waits until all hosts are ready. */
  static async start (hostCount = 1, endpointCount = 2, regions: readonly string[] = ['north'], links?: LimitedLinks): Promise<HostGroup> {
    const group = new HostGroup(regions, links)
    try {
      await group.startAll(hostCount, endpointCount)
    } catch (error) {
      await group.stop()
      throw error
    }
    return group
  }

  private async startAll (hostCount: number, endpointCount: number): Promise<void> {
    this.storeAddress = await this.store.listen()
    this.putConfig({})
    for (let index = 0; index < endpointCount; index++) await this.addEndpoint(`e-${index}`)
    for (let index = 0; index < hostCount; index++) await this.addHost()
    await this.waitUntil(() => this.hosts.every((host) => host.isReady))
  }

  /** Writes a new configuration version with changed, added or (`undefined`) removed routes. */
  putConfig (change: Record<string, object | undefined>): void {
    this.version += 1
    const all = Object.fromEntries(Object.entries({ ...routes, ...change }).filter(([, route]) => route !== undefined))
    this.store.tables.put('op', 'config', {
      version: this.version.toString(16).padStart(8, '0'),
      routes: all,
      services: { stock: { health_path: '/health', max_connections: 100, cold_start_s: 3, cold_per_s: 5 }, other: { health_path: '/health', max_connections: 100 } },
      limits: { header_bytes: 16_384, body_bytes: 1_000_000, header_timeout_s: 3, idle_timeout_s: 15 }
    })
  }

  async addEndpoint (id: string, service = 'stock', slots?: number): Promise<PlatformEndpoint> {
    const endpoint = new PlatformEndpoint(id, slots)
    await endpoint.listen()
    this.endpoints.push(endpoint)
    this.store.tables.put('servers', id, endpoint.describe(service, 'north-a'))
    return endpoint
  }

  /** Registers an endpoint of service `stock` that writes any bytes in place of responses. */
  async addRawEndpoint (endpoint: RawEndpoint): Promise<void> {
    await endpoint.listen()
    this.rawEndpoints.push(endpoint)
    this.store.tables.put('servers', endpoint.id, endpoint.describe('stock', 'north-a'))
    const isListed = (): boolean => this.logger.lines.some((line) => line.includes('endpoints-changed') && line.includes(`known=${this.endpoints.length + this.rawEndpoints.length}`))
    await this.waitUntil(isListed)
  }

  /** Starts a host; `name` is that of an earlier one when it is a restart, and `storeDelaysMs` delays its calls to the store. */
  async addHost (name = `host-${this.hosts.length}`, storeDelaysMs: CuttableStore['delaysMs'] = {}): Promise<HostProcess> {
    const settings = await this.createSettings(name)
    for (const other of this.settings) await this.links?.connect(settings, other)
    const registry = new Registry()
    const clock = new SystemClock()
    const rejected = new RejectedInput({ registry, clock, logger: this.logger })
    const store = new CuttableStore(new HttpCatalogStore(this.storeAddress, rejected))
    store.delaysMs = storeDelaysMs
    this.hostStores.push(store)
    const host = new HostProcess({
      settings,
      store,
      httpBinding: new PlatformHttpBinding(),
      clock,
      registry,
      rejected,
      createModuleLogger: () => this.logger,
      random: Math.random
    })
    await host.start()
    this.hosts.push(host)
    this.settings.push(settings)
    return host
  }

  /** Sends a request to a host on a new connection. */
  async send (call: CallerRequest = {}, host = 0): Promise<CallerAnswer> {
    const [address, port] = this.settings[host]!.listen.callers.split(':')
    const { method = 'GET', path = '/read/1', id = `q-${Math.random()}`, object = '7', deadlineMs = 2_000, body, host: hostHeader = 'shop.example' } = call
    const headers: Record<string, string> = { Host: hostHeader, 'X-Request-Id': id, Cookie: `X-Affinity-Key=${object}`, 'X-Deadline-Ms': String(deadlineMs), ...(body === undefined ? {} : { 'Content-Length': String(body.length) }) }
    return await fetchAnswer({ host: address!, port: Number(port), method, path, headers }, body)
  }

  /** Sends a GET request to the readiness, directory or metrics port of a host. */
  async fetchFrom (port: 'readiness' | 'directory' | 'metrics', path: string, host = 0): Promise<CallerAnswer> {
    const [address, number] = this.settings[host]!.listen[port].split(':')
    return await fetchAnswer({ host: address!, port: Number(number), method: 'GET', path, headers: {} }, undefined)
  }

  /** Opens a raw TCP connection to the caller port of a host. */
  connect (host = 0): ReturnType<typeof connect> {
    const [address, port] = this.settings[host]!.listen.callers.split(':')
    return connect(Number(port), address!)
  }

  async waitUntil (isReached: () => boolean): Promise<void> {
    await waitUntil(isReached, () => `; log:\n${this.logger.lines.slice(-20).join('\n')}`)
  }

  async stop (): Promise<void> {
    this.store.close()
    for (const endpoint of [...this.endpoints, ...this.rawEndpoints]) endpoint.close()
    await Promise.all(this.hosts.map(async (host) => { await host.stop() }))
    await this.links?.close()
  }

  private async createSettings (name: string): Promise<HostSettings> {
    const [callers, readiness, directory, peers, metrics] = await findFreeAddresses(5)
    const region = this.regions[this.settings.length % this.regions.length]!
    return createHostSettings({
      name,
      zone: `${region}-a`,
      region,
      regionOfZone: Object.fromEntries(this.regions.map((each) => [`${each}-a`, each])),
      listen: { callers: callers!, readiness: readiness!, directory: directory!, peers: peers!, metrics: metrics! },
      isFirstStart: this.settings.every((earlier) => earlier.name !== name),
      seeds: this.settings.slice(0, 3).map((settings) => settings.listen.peers)
    })
  }
}

async function fetchAnswer (options: RequestOptions, body: string | undefined): Promise<CallerAnswer> {
  return await new Promise((resolve, reject) => {
    const req = request({ ...options, agent: false }, (res) => {
      const chunks: Buffer[] = []
      res.on('data', (chunk: Buffer) => chunks.push(chunk))
      res.on('error', reject)
      res.on('end', () => resolve({ status: res.statusCode ?? 0, headers: res.headers, body: Buffer.concat(chunks).toString('utf8') }))
    })
    req.on('error', reject)
    req.end(body)
  })
}
