import { Guard } from '../cluster/Guard.js'
import { SeededRandom } from '../common/SeededRandom.js'
import { sendRequest } from '../common/sendRequest.js'
import { StallWatch } from '../common/StallWatch.js'
import { BandwidthGroup } from '../proxy/BandwidthGroup.js'
import { Link } from '../proxy/Link.js'
import type { LinkFaults } from '../proxy/LinkFaults.js'
import type { LinkPlan } from '../proxy/LinkPlan.js'
import { StoreServer } from '../store/StoreServer.js'
import { SoakCaller } from './SoakCaller.js'
import { SoakEndpoint } from './SoakEndpoint.js'
import { SoakHost } from './SoakHost.js'
import { SoakHistory } from './SoakHistory.js'
import { soakLimits } from './soakLimits.js'
import type { SoakOptions } from './SoakOptions.js'
import { soakPorts } from './soakPorts.js'

/** Options of a cluster in addition to its size. */
interface SoakClusterOptions extends SoakOptions {
  /** Folder for settings files and logs. */
  readonly folder: string
  /** Path of the host's script. */
  readonly script: string
  /** Node.js flags for the hosts, such as those for profiling. */
  readonly nodeArgs: readonly string[]
}

/** Kinds of targets that a host's links lead to. */
type LinkTarget = 'endpoint' | 'host' | 'store' | 'callers'

/** A link from `source`, which connects to `listen`, to a target at `address`. */
interface SoakLink {
  readonly source: string
  readonly target: LinkTarget
  readonly listen: string
  readonly address: string
  readonly delayMs: number
}

const zones: Readonly<Record<string, string>> = { 'north-a': 'north', 'north-b': 'north', 'south-a': 'south', 'west-a': 'west' }
/** Region of the store. */
const storeRegion = 'north'
/** Zone of all callers, unless they are placed in all regions. */
const callerZone = 'north-a'
const services = ['stock', 'ledger']
const endpointPort = 9_000
const storePort = 8_541
const serviceMs = 25
const lookUpTimeoutMs = 1_000
const okStatus = 200
const versionDigits = 8
const hexadecimal = 16
/** Second octets of the loopback networks that soak runs use, separate from those of the tests. */
const firstNetwork = 200
const networks = 50
const octets = { hosts: 1, endpoints: 2, callerLinks: 3, hostLinks: 100, store: 250, peers: 200 }
const baseRoutes = {
  'r-read': { host: 'shop.example', prefix: '/read/', kind: 'idempotent', timeout_s: 1.2, target_latency_s: 0.4, priority: 2, service: 'stock', max_attempts: 3, session_affinity: true, allowed_regions: [] },
  'r-order': { host: 'shop.example', prefix: '/order/', kind: 'non_idempotent', timeout_s: 2, target_latency_s: 0.6, priority: 0, service: 'ledger', max_attempts: 2, session_affinity: true, allowed_regions: [] },
  'r-upload': { host: 'shop.example', prefix: '/upload/', kind: 'upload', timeout_s: 2.5, target_latency_s: 0.8, priority: 1, service: 'ledger', max_attempts: 2, session_affinity: false, allowed_regions: [] }
}

/** Runs hosts as real processes, with stand-ins for the store and for endpoints and a fault-injecting link per address pair. */
export class SoakCluster {
  readonly history = new SoakHistory()
  readonly store = new StoreServer()
  readonly random: SeededRandom
  readonly hosts: SoakHost[] = []
  readonly endpoints: SoakEndpoint[] = []
  private readonly guard = new Guard()
  private readonly links = new Map<string, Array<{ readonly target: LinkTarget, readonly link: Link }>>()
  private readonly callers: SoakCaller[] = []
  private readonly network: number
  private version = 0
  private readonly addedRoutes = new Map<string, object>()
  private idleRoutes: Readonly<Record<string, object>> = {}
  private readonly bandwidthGroups = new Map<string, BandwidthGroup>()
  private callerRuns: Promise<unknown> = Promise.resolve()
  private exitTimer: NodeJS.Timeout | undefined
  private readonly stallWatch = new StallWatch(soakLimits.stallMs, (fromMs, untilMs) => this.history.recordStall(this.hosts.map((host) => host.name), fromMs, untilMs))

  constructor (private readonly options: SoakClusterOptions) {
    this.random = new SeededRandom(options.seed)
    this.network = firstNetwork + options.seed % networks
  }

  async start (): Promise<void> {
    const storeAddress = await this.store.listen()
    this.putConfig()
    for (let index = 0; index < this.options.endpoints; index++) await this.addEndpoint(index)
    for (let index = 0; index < this.options.hosts; index++) await this.addHost(index, storeAddress)
    for (const host of this.hosts) host.start()
    await this.waitForReady()
    await this.waitForPeers()
    for (let index = 0; index < this.options.callers; index++) this.addCaller(index)
    this.callerRuns = Promise.all(this.callers.map(async (caller) => { await caller.run() }))
    this.exitTimer = setInterval(() => this.recordUnexpectedExits(), soakLimits.pollMs)
    this.stallWatch.start()
  }

  async close (): Promise<void> {
    for (const caller of this.callers) caller.stop()
    await this.callerRuns
    clearInterval(this.exitTimer)
    this.stallWatch.stop()
    for (const host of this.hosts) {
      host.isExpectedDown = true
      const peakMb = host.readPeakMb()
      if (peakMb > soakLimits.maxHostMb) this.history.hostErrors.push(`${host.name} used ${Math.round(peakMb)} MB`)
    }
    await Promise.all(this.hosts.map(async (host) => { await this.stopHost(host) }))
    for (const host of this.hosts) for (const line of host.listErrors()) this.history.hostErrors.push(`${host.name}: ${line}`)
    for (const endpoint of this.endpoints) endpoint.stop(false)
    await Promise.all([...this.links.values()].flat().map(async ({ link }) => { await link.close() }))
    this.store.close()
    await this.guard.close()
  }

  /** Writes a new version of the configuration with the base routes and the added ones. */
  putConfig (): void {
    this.version += 1
    this.store.tables.put('op', 'config', {
      version: this.version.toString(hexadecimal).padStart(versionDigits, '0'),
      routes: { ...baseRoutes, ...Object.fromEntries(this.addedRoutes), ...this.idleRoutes },
      services: Object.fromEntries(services.map((name) => [name, { health_path: '/health', max_connections: 400, cold_start_s: 1, cold_per_s: 20 }])),
      limits: { header_bytes: 16_384, body_bytes: 1_000_000, header_timeout_s: 3, idle_timeout_s: 15 }
    })
  }

  /** Writes a configuration with this number of routes that no caller uses. */
  setIdleRoutes (count: number): void {
    const names = Array.from({ length: count }, (_value, index) => `idle-${index.toString(hexadecimal)}`)
    this.idleRoutes = Object.fromEntries(names.map((name) => [`r-${name}`, { ...baseRoutes['r-read'], prefix: `/${name}/` }]))
    this.putConfig()
  }

  /** Adds a route for reads. */
  addRoute (prefix: string): void {
    this.addedRoutes.set(toRouteName(prefix), { ...baseRoutes['r-read'], prefix })
    this.putConfig()
    this.history.changes.push({ kind: 'route', prefix, atMs: performance.now(), untilMs: Infinity })
  }

  /** Moves an added route to the other service, in one region only. */
  moveRoute (prefix: string): void {
    const service = services[1]!
    const region = this.endpoints.find((endpoint) => endpoint.serviceName === service && !endpoint.isStopping)?.region ?? storeRegion
    this.addedRoutes.set(toRouteName(prefix), { ...baseRoutes['r-read'], prefix, service, allowed_regions: [region] })
    this.putConfig()
    this.history.changes.push({ kind: 'move', prefix, service, region, atMs: performance.now(), untilMs: Infinity })
  }

  removeRoute (prefix: string): void {
    for (const change of this.history.changes) {
      if ((change.kind === 'route' || change.kind === 'move') && change.prefix === prefix) change.untilMs = performance.now()
    }
    this.addedRoutes.delete(toRouteName(prefix))
    this.putConfig()
  }

  /** Lets all connections of all hosts that are open now fall silent for good, except those of callers. */
  async silenceOpenConnections (): Promise<void> {
    const links = [...this.links.values()].flat().filter(({ target }) => target !== 'callers')
    await Promise.all(links.map(async ({ link }) => { await link.setFaults({ silencesOpen: true }) }))
  }

  /** Sets faults on the links of a host to all targets of a kind. */
  async setLinkFaults (host: string, target: LinkTarget, faults: Partial<LinkFaults>): Promise<void> {
    const chosen = (this.links.get(host) ?? []).filter((row) => row.target === target)
    await Promise.all(chosen.map(async ({ link }) => { await link.setFaults(faults) }))
  }

  async isReady (host: SoakHost): Promise<boolean> {
    return await fetchText(host.readinessAddress, '/v1/readiness') !== undefined
  }

  /** Stops a host and records an error when it doesn't exit cleanly within the grace time. */
  private async stopHost (host: SoakHost): Promise<void> {
    if (!host.process.isRunning) return
    const late = setTimeout(() => host.process.signal('SIGKILL'), soakLimits.graceMs)
    host.process.signal('SIGTERM')
    const code = await host.process.waitForExit()
    clearTimeout(late)
    if (code !== 0) this.history.hostErrors.push(`${host.name} ended its planned stop with ${code ?? 'a kill'}`)
  }

  private async waitForReady (): Promise<void> {
    await this.waitForHosts(async (host) => await this.isReady(host), () => 'is not ready')
  }

  /** Waits until each host has heard of all others; without peers, a run would not test what hosts learn from each other. */
  private async waitForPeers (): Promise<void> {
    const others = this.hosts.length - 1
    await this.waitForHosts(async (host) => host.countPeers() >= others, (host) => `has heard of ${host.countPeers()} of ${others} hosts`)
  }

  /** Waits for each host in turn, all within the timeout of the start; `describe` says what a host that isn't done lacks. */
  private async waitForHosts (isDone: (host: SoakHost) => Promise<boolean>, describe: (host: SoakHost) => string): Promise<void> {
    const endMs = performance.now() + soakLimits.startTimeoutMs
    for (const host of this.hosts) {
      while (!await isDone(host)) {
        if (performance.now() > endMs) throw new Error(`host "${host.name}" ${describe(host)}:\n${host.process.readLogTail()}`)
        await new Promise((resolve) => setTimeout(resolve, soakLimits.pollMs))
      }
    }
  }

  private async addEndpoint (index: number): Promise<void> {
    const zone = pickZone(index)
    const endpoint = new SoakEndpoint({
      host: this.address(octets.endpoints, index + 1),
      port: endpointPort,
      zone,
      region: zones[zone]!,
      serviceMs,
      tables: this.store.tables,
      history: this.history
    })
    this.endpoints.push(endpoint)
    await endpoint.start(services[index % services.length]!)
  }

  private async addHost (index: number, storeAddress: string): Promise<void> {
    const name = `host-${index}`
    const zone = pickZone(index)
    const region = zones[zone]!
    const dial: Record<string, string> = {}
    for (let other = 0; other < this.options.endpoints; other++) {
      dial[`${this.address(octets.endpoints, other + 1)}:${endpointPort}`] = `${this.address(octets.hostLinks + index, other + 1)}:${endpointPort}`
    }
    for (let other = 0; other < this.options.hosts; other++) {
      if (other !== index) dial[`${this.address(octets.hosts, other + 1)}:${soakPorts.peers}`] = `${this.address(octets.hostLinks + index, octets.peers + other)}:${soakPorts.peers}`
    }
    const storeLink = `${this.address(octets.hostLinks + index, octets.store)}:${storePort}`
    const host = new SoakHost({
      name,
      address: this.address(octets.hosts, index + 1),
      zone,
      region,
      zones,
      dial: { ...dial, [storeAddress]: storeLink },
      storeAddress,
      seeds: [1, 2, 3].slice(0, this.options.hosts).map((other) => this.address(octets.hosts, other)),
      folder: this.options.folder,
      script: this.options.script,
      nodeArgs: this.options.nodeArgs
    }, this.guard)
    this.hosts.push(host)
    for (const [target, listen] of Object.entries(dial)) {
      const place = Number(target.split(':')[0]!.split('.').at(-1)) - 1
      const delayMs = this.delayBetween(region, zones[pickZone(place)]!)
      await this.openLink({ source: name, target: target.endsWith(`:${soakPorts.peers}`) ? 'host' : 'endpoint', listen, address: target, delayMs })
    }
    await this.openLink({ source: name, target: 'store', listen: storeLink, address: storeAddress, delayMs: this.delayBetween(region, storeRegion) })
    await this.openLink({ source: name, target: 'callers', listen: this.callerLink(index), address: host.callerAddress, delayMs: 0 })
  }

  /** Returns the one-way delay in ms between two regions. */
  private delayBetween (region: string, other: string): number {
    return region === other ? 0 : this.options.regionDelayMs ?? 0
  }

  private async openLink ({ source, target, listen, address, delayMs }: SoakLink): Promise<void> {
    const place = { source, sourceZone: '', sourceRegion: '', targetName: address, targetKind: 'host', targetZone: '', targetRegion: '' } as const
    const groups = this.planBandwidth(source, target, address)
    const link = new Link({ ...place, ...groups, listen, target: address, delayMs, findsLateResets: target === 'endpoint' }, this.bandwidthGroups)
    await link.open()
    this.links.set(source, [...this.links.get(source) ?? [], { target, link }])
  }

  /** What a host sends to other hosts and to the store shares its link, and so does what it receives from the store. */
  private planBandwidth (source: string, target: LinkTarget, address: string): Pick<LinkPlan, 'forwardGroup' | 'backwardGroup'> {
    const { linkBytesPerSecond } = this.options
    if (linkBytesPerSecond === undefined || (target !== 'host' && target !== 'store')) return {}
    const forwardGroup = `from-${source}`
    const backwardGroup = target === 'store' ? `to-${source}` : `from-host-${Number(address.split(':')[0]!.split('.').at(-1)) - 1}`
    for (const name of [forwardGroup, backwardGroup]) {
      if (!this.bandwidthGroups.has(name)) this.bandwidthGroups.set(name, new BandwidthGroup(linkBytesPerSecond))
    }
    return { forwardGroup, backwardGroup }
  }

  private addCaller (index: number): void {
    const random = new SeededRandom(this.options.seed * networks + index)
    const zone = this.options.restartsEndpoints === true ? pickZone(index) : callerZone
    this.callers.push(new SoakCaller({
      name: `c${index}`,
      random,
      history: this.history,
      lookUp: async () => await this.lookUp(random, zone),
      newestPrefix: () => this.findNewestPrefix()
    }))
  }

  private async lookUp (random: SeededRandom, zone: string): Promise<{ readonly host: string, readonly address: string } | undefined> {
    const first = random.integer(this.hosts.length)
    for (let tries = 0; tries < this.hosts.length; tries++) {
      const response = await fetchText(this.hosts[(first + tries) % this.hosts.length]!.directoryAddress, `/v1/resolve?name=shop.example&region=${zones[zone]!}&zone=${zone}`)
      if (response === undefined) continue
      const { addresses } = JSON.parse(response) as { readonly addresses: readonly string[] }
      const chosen = addresses[random.integer(addresses.length)]
      const index = this.hosts.findIndex((host) => host.callerAddress === chosen)
      if (index >= 0) return { host: this.hosts[index]!.name, address: this.callerLink(index) }
    }
    return undefined
  }

  /** Returns the prefix of the newest added route that all hosts must have applied by now. */
  private findNewestPrefix (): string | undefined {
    const nowMs = performance.now()
    const newest = this.history.changes.findLast((change) => change.kind === 'route' && change.untilMs === Infinity && change.atMs + soakLimits.configApplyMs < nowMs)
    return newest?.kind === 'route' ? newest.prefix : undefined
  }

  private recordUnexpectedExits (): void {
    for (const host of this.hosts) {
      if (host.isExpectedDown || host.process.isRunning) continue
      host.isExpectedDown = true
      this.history.hostErrors.push(`${host.name} ended by itself (${host.process.describeExit()}):\n${host.process.readLogTail()}`)
    }
  }

  private callerLink (index: number): string {
    return `${this.address(octets.callerLinks, index + 1)}:${soakPorts.front}`
  }

  private address (third: number, fourth: number): string {
    return `127.${this.network}.${third}.${fourth}`
  }
}

function pickZone (index: number): string {
  const names = Object.keys(zones)
  return names[index % names.length]!
}

function toRouteName (prefix: string): string {
  return `r${prefix.replaceAll('/', '-')}`
}

/** Returns the body of a successful response, otherwise undefined. */
async function fetchText (address: string, path: string): Promise<string | undefined> {
  try {
    const { status, body } = await sendRequest(`http://${address}${path}`, { timeoutMs: lookUpTimeoutMs })
    return status === okStatus ? body.toString('utf8') : undefined
  } catch {
    // The host is down or unreachable; callers handle an undefined result.
    return undefined
  }
}
