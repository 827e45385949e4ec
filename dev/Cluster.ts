import { randomUUID } from 'node:crypto'
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { connect } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import type { Settings } from '../src/config/Settings.js'
import type { HostSpec } from '../src/model/HostSpec.js'
import type { ClusterOptions } from './cluster/ClusterOptions.js'
import type { Deployment } from '../src/model/Deployment.js'
import type { ExampleContract } from './cluster/ExampleContract.js'
import { Guard } from './cluster/Guard.js'
import { ManagedProcess } from './cluster/ManagedProcess.js'
import { TestOperatorClient } from './cluster/TestOperatorClient.js'
import { clusterPorts } from './cluster/clusterPorts.js'
import { planLinks } from './cluster/planLinks.js'
import { planStandIns } from './cluster/planStandIns.js'
import { readExample } from './cluster/readExample.js'
import { StandInClient } from './cluster/StandInClient.js'
import { sendRequest } from './common/sendRequest.js'
import type { LinkFaults } from './proxy/LinkFaults.js'
import type { LinkPlan } from './proxy/LinkPlan.js'
import type { LinkSelection } from './proxy/LinkSelection.js'

/** A daemon of a host. */
type Role = 'agent' | 'entry' | 'lookup'

/** A partition: data is held back (`silent`) or connections are reset (`reset`). */
type CutMode = 'silent' | 'reset'

const delays = { betweenZonesMs: 1, betweenRegionsMs: 35, toClientsMs: 8 }
const noDelays = { betweenZonesMs: 0, betweenRegionsMs: 0, toClientsMs: 0 }
const readyTimeoutMs = 20_000
const firstErrorStatus = 300
/** Refusals that say that the store did not answer in time. */
const storeAwayNames: readonly string[] = ['platformUnavailable', 'writeUnknown']
const pollMs = 50
const binaries: Readonly<Record<Role, string>> = { agent: 'shuntAgent', entry: 'shuntEntry', lookup: 'shuntLookup' }
const limits = { maxConnections: 4_096, maxHeaderBytes: 16_384, headersTimeoutMs: 10_000, idleTimeoutMs: 60_000 }

/**
 * A whole deployment on a loopback network of its own: stand-ins, fault-injecting proxy and all daemons as child
 * processes. Everything ends with `close`, or when this process ends in any way.
 */
export class Cluster {
  readonly deployment: Deployment
  readonly contracts: readonly ExampleContract[]
  readonly folder: string
  readonly standIns: StandInClient
  readonly links: readonly LinkPlan[]
  private readonly guard = new Guard()
  private readonly processes = new Map<string, ManagedProcess>()
  private readonly settings: ReadonlyMap<string, Settings>
  private readonly platformAddress: string

  private constructor (private readonly options: ClusterOptions) {
    const example = readExample(options.example, options.network)
    this.deployment = options.changeDeployment?.(example.deployment) ?? example.deployment
    this.contracts = options.changeContracts?.(example.contracts) ?? example.contracts
    this.folder = mkdtempSync(join(tmpdir(), `shunt-${options.example}-${options.network}-`))
    if (options.keepFolder !== true) this.guard.addFolder(this.folder)
    this.platformAddress = `${this.address(1)}:${clusterPorts.platform}`
    this.links = planLinks(this.deployment, this.platformAddress, options.delays === false ? noDelays : delays)
    this.standIns = new StandInClient({
      platform: `${this.address(1)}:${clusterPorts.platformControl}`,
      upstreams: `${this.address(2)}:${clusterPorts.upstreamControl}`,
      proxy: `${this.address(3)}:${clusterPorts.proxyControl}`
    })
    this.settings = new Map(this.deployment.hosts.map((host) => [host.name, this.createSettings(host, example.settings)]))
    this.createProcesses()
  }

  /**
   * Starts a cluster and, unless told otherwise, loads deployment and contracts and waits until it is ready.
   * @throws {Error} when a process does not come up; the message holds the end of its log
   */
  static async start (options: ClusterOptions): Promise<Cluster> {
    const cluster = new Cluster(options)
    try {
      await cluster.startStandIns()
      await cluster.startDaemons()
      if (options.load !== false && cluster.policy === 'project') await cluster.load()
      return cluster
    } catch (err) {
      const tails = cluster.describeFailures()
      await cluster.close()
      throw new Error(`the cluster did not start: ${String(err)}\n${tails}`, { cause: err })
    }
  }

  get policy (): NonNullable<ClusterOptions['policy']> {
    return this.options.policy ?? 'project'
  }

  get hostNames (): string[] {
    return this.deployment.hosts.map(({ name }) => name)
  }

  /** Names of the regions in the deployment's order. */
  get regionNames (): string[] {
    return [...new Set(this.deployment.zones.map(({ region }) => region))]
  }

  host (name: string): HostSpec {
    const host = this.deployment.hosts.find((spec) => spec.name === name)
    if (host === undefined) throw new Error(`the deployment has no host "${name}"`)
    return host
  }

  regionOf (zone: string): string {
    return this.deployment.zones.find(({ name }) => name === zone)?.region ?? zone
  }

  /** Operators' interface of a host; default the first. */
  operator (host = this.hostNames[0]!, operator = 'anna'): TestOperatorClient {
    const { address, ports: { operator: port } } = this.host(host)
    return new TestOperatorClient(`${address}:${port}`, operator)
  }

  /** Where a client of `region` connects to reach `target` (`a.b.c.d:port`). */
  clientAddress (region: string, target: string): string {
    const link = this.links.find((plan) => plan.source === `client-${region}` && plan.target === target)
    if (link === undefined) throw new Error(`clients of "${region}" have no link to ${target}`)
    return link.listen
  }

  /** Process id of a daemon, or of `platform`, `upstreams` or `proxy`; undefined when it has not been started. */
  pidOf (name: string, role?: Role): number | undefined {
    return this.process(name, role).pid
  }

  isRunning (host: string, role: Role): boolean {
    return this.process(host, role).isRunning
  }

  readLog (host: string, role: Role, lines = 15): string {
    return this.process(host, role).readLogTail(lines)
  }

  /** Ends a daemon at once. */
  async kill (host: string, role: Role): Promise<void> {
    const target = this.process(host, role)
    target.signal('SIGKILL')
    await target.waitForExit()
    await this.refuse(host, role, true)
  }

  /** Ends all daemons of a host at once. */
  async killHost (host: string): Promise<void> {
    await Promise.all(this.roles.map(async (role) => await this.kill(host, role)))
  }

  /** Asks a daemon to stop and waits for its end; returns the exit code. */
  async stop (host: string, role: Role): Promise<number | null> {
    const target = this.process(host, role)
    target.signal('SIGTERM')
    const code = await target.waitForExit()
    await this.refuse(host, role, true)
    return code
  }

  pause (host: string, role: Role): void {
    this.process(host, role).signal('SIGSTOP')
  }

  resume (host: string, role: Role): void {
    this.process(host, role).signal('SIGCONT')
  }

  /** Starts a daemon that has ended and waits until its ports are open. */
  async restart (host: string, role: Role): Promise<void> {
    this.process(host, role).start()
    await this.waitForPorts(host, role)
  }

  async restartHost (host: string): Promise<void> {
    await Promise.all(this.roles.map(async (role) => await this.restart(host, role)))
  }

  /** Partitions a zone from the other zones and the platform; clients still reach it unless `clients` is true. */
  async cutZone (zone: string, options: { readonly mode?: CutMode, readonly clients?: boolean } = {}): Promise<void> {
    const others = [...this.deployment.zones.map(({ name }) => name).filter((name) => name !== zone), 'platform']
    await this.cut(others.flatMap((other) => [{ sourceZone: zone, targetZone: other }, { sourceZone: other, targetZone: zone }]), options.mode)
    if (options.clients === true) await this.cutClients({ targetZone: zone }, options.mode)
  }

  /** Partitions a region from the other regions. */
  async cutRegion (region: string, options: { readonly mode?: CutMode, readonly clients?: boolean } = {}): Promise<void> {
    const others = this.regionNames.filter((name) => name !== region)
    const hosts = this.deployment.hosts.filter((host) => this.regionOf(host.zone) === region).map(({ name }) => name)
    const otherHosts = this.hostNames.filter((name) => !hosts.includes(name))
    const outward = hosts.flatMap((source) => others.map((targetRegion) => ({ source, targetRegion })))
    const inward = otherHosts.map((source) => ({ source, targetRegion: region }))
    await this.cut([...outward, ...inward], options.mode)
    if (options.clients === true) await this.cutClients({ targetRegion: region }, options.mode)
  }

  /** Loses all data from one zone to another, while the other direction works. */
  async cutOneWay (fromZone: string, toZone: string): Promise<void> {
    await this.standIns.setLinkFaults([{ sourceZone: fromZone, targetZone: toZone }], { silentForward: true })
    await this.standIns.setLinkFaults([{ sourceZone: toZone, targetZone: fromZone }], { silentBackward: true })
  }

  /** Partitions one host from all others and from the platform and the endpoints. */
  async cutHost (host: string, mode: CutMode = 'silent'): Promise<void> {
    await this.cut([{ source: host }, { targetName: host }], mode)
  }

  /** Ends all partitions and other link faults. */
  async heal (): Promise<void> {
    await this.standIns.healLinks()
  }

  /** Makes the platform refuse or hang, or brings it back. */
  async setPlatformMode (mode: 'up' | 'refuse' | 'hang'): Promise<void> {
    await this.standIns.setPlatformFaults({ mode })
    await this.standIns.setLinkFaults([{ targetKind: 'platform' }], { refuse: mode === 'refuse' })
  }

  /** Makes endpoints refuse connections, as when their process is gone, or brings them back. */
  async setEndpointDown (endpoint: string, down: boolean): Promise<void> {
    await this.standIns.setEndpointFaults({ endpoint }, { refuse: down })
    await this.standIns.setLinkFaults([{ targetName: endpoint }], { refuse: down })
  }

  /** Waits until a host's daemon says that it is ready. */
  async waitUntilReady (host: string, role: Role, timeoutMs = readyTimeoutMs): Promise<void> {
    const url = `http://${this.healthAddress(host, role)}/health/ready`
    await this.poll(`${role} of ${host} to be ready`, async () => (await sendRequest(url, { timeoutMs: 2_000 })).status === 200, timeoutMs)
  }

  /** Ends every process and removes the temporary folder. */
  async close (): Promise<void> {
    for (const child of this.processes.values()) child.signal('SIGKILL')
    await Promise.all([...this.processes.values()].map(async (child) => await child.waitForExit()))
    await this.guard.close()
    if (this.options.keepFolder !== true) rmSync(this.folder, { recursive: true, force: true })
  }

  private get roles (): Role[] {
    return this.policy === 'project' ? ['agent', 'entry', 'lookup'] : ['entry']
  }

  private address (last: number): string {
    return `127.${this.options.network}.0.${last}`
  }

  private process (name: string, role?: Role): ManagedProcess {
    const id = role === undefined ? name : `${name}-${role}`
    const found = this.processes.get(id)
    if (found === undefined) throw new Error(`the cluster has no process "${id}"`)
    return found
  }

  private createSettings (host: HostSpec, examples: ReturnType<typeof readExample>['settings']): Settings {
    const example = examples.find((settings) => settings.host === host.name) ?? examples[0]!
    const dial = Object.fromEntries(this.links.filter(({ source }) => source === host.name).map(({ target, listen }) => [target, listen]))
    const settings: Settings = {
      ...example,
      host: host.name,
      zone: host.zone,
      address: host.address,
      ports: host.ports,
      operators: example.operators ?? [],
      dial,
      log: { default: this.options.logLevel ?? 'warn' },
      stopTimeoutMs: example.stopTimeoutMs ?? 900_000,
      limits: example.limits ?? limits
    }
    return this.options.changeSettings?.(settings) ?? settings
  }

  private createProcesses (): void {
    mkdirSync(join(this.folder, 'logs'))
    const addresses = { platform: this.address(1), upstreams: this.address(2), proxy: this.address(3) }
    const plans = planStandIns({ options: this.options, deployment: this.deployment, links: this.links, addresses })
    this.addStandIn('platform', 'runStore', plans.platform)
    this.addStandIn('upstreams', 'runUpstreams', plans.upstreams)
    this.addStandIn('proxy', 'runProxy', plans.proxy)
    for (const host of this.deployment.hosts) {
      const settingsFile = this.writeJson(`${host.name}.json`, this.settings.get(host.name))
      for (const role of this.roles) this.addProcess(`${host.name}-${role}`, this.daemonArgs(role, settingsFile), false)
    }
  }

  private daemonArgs (role: Role, settingsFile: string): string[] {
    if (this.policy === 'project') return [join(import.meta.dirname, `../src/bin/${binaries[role]}.js`), '--settings', settingsFile]
    const planFile = this.writeJson('baseline.json', { deployment: this.deployment, contracts: this.contracts, policy: this.policy })
    return [join(import.meta.dirname, 'baselines/runBaseline.js'), settingsFile, planFile]
  }

  private addStandIn (name: string, script: string, plan: unknown): void {
    const planFile = this.writeJson(`${name}.json`, plan)
    this.addProcess(name, [join(import.meta.dirname, `${script}.js`), planFile], true)
  }

  private addProcess (name: string, args: readonly string[], holdStdin: boolean): void {
    this.processes.set(name, new ManagedProcess({ name, args, holdStdin, logFile: join(this.folder, 'logs', `${name}.log`) }, this.guard))
  }

  private writeJson (name: string, value: unknown): string {
    const file = join(this.folder, name)
    writeFileSync(file, JSON.stringify(value))
    return file
  }

  private async startStandIns (): Promise<void> {
    for (const [name, last, port] of [['platform', 1, clusterPorts.platformControl], ['upstreams', 2, clusterPorts.upstreamControl], ['proxy', 3, clusterPorts.proxyControl]] as const) {
      this.process(name).start()
      await this.poll(`the control port of ${name}`, async () => await this.isOpen(name, this.address(last), port))
    }
  }

  private async startDaemons (): Promise<void> {
    for (const host of this.hostNames) {
      for (const role of this.roles) this.process(host, role).start()
    }
    await Promise.all(this.hostNames.flatMap((host) => this.roles.map(async (role) => await this.waitForPorts(host, role))))
  }

  private async load (): Promise<void> {
    const operator = this.operator()
    await this.writeFirst('the deployment', async (writeId) => await operator.putDeployment(this.deployment, writeId))
    for (const contract of this.contracts) {
      await this.writeFirst(`contract "${contract.customer}"`, async (writeId) => await operator.putContract(contract, 0, writeId))
    }
    await Promise.all(this.hostNames.flatMap((host) => this.roles.map(async (role) => await this.waitUntilReady(host, role))))
  }

  /**
   * Repeats a first write, under its own id, until the store has taken it: while all processes start at once, the store
   * stand-in may need longer for an answer than the agents' settings allow.
   */
  private async writeFirst (what: string, write: (writeId: string) => Promise<Awaited<ReturnType<TestOperatorClient['call']>>>): Promise<void> {
    const writeId = randomUUID()
    const endMs = performance.now() + readyTimeoutMs
    for (;;) {
      const answer = await write(writeId)
      if (answer.status < firstErrorStatus) return
      const isStoreAway = storeAwayNames.includes(String(answer.body.name))
      if (!isStoreAway || performance.now() > endMs) throw new Error(`${what} was not accepted: ${JSON.stringify(answer)}`)
      await new Promise((resolve) => setTimeout(resolve, pollMs))
    }
  }

  private async cut (selects: readonly LinkSelection[], mode: CutMode = 'silent'): Promise<void> {
    const faults: Partial<LinkFaults> = mode === 'reset' ? { cut: true } : { silentForward: true, silentBackward: true }
    await this.standIns.setLinkFaults(selects, faults)
  }

  private async cutClients (select: LinkSelection, mode: CutMode | undefined): Promise<void> {
    await this.cut(this.regionNames.map((region) => ({ source: `client-${region}`, ...select })), mode)
  }

  private rolePorts (host: string, role: Role): number[] {
    const { caller, internal, peer, lookup, agent, operator, entryAdmin } = this.host(host).ports
    if (this.policy !== 'project') return [caller]
    return { agent: [agent, operator], entry: [caller, internal, peer, entryAdmin], lookup: [lookup] }[role]
  }

  private healthAddress (host: string, role: Role): string {
    const { address, ports: { operator, entryAdmin, lookup } } = this.host(host)
    return `${address}:${{ agent: operator, entry: entryAdmin, lookup }[role]}`
  }

  /** Closes or opens the proxy's ports that lead to a daemon, so that a dead one refuses connections. */
  private async refuse (host: string, role: Role, refuse: boolean): Promise<void> {
    const { address } = this.host(host)
    await this.standIns.setLinkFaults(this.rolePorts(host, role).map((port) => ({ target: `${address}:${port}` })), { refuse })
  }

  private async waitForPorts (host: string, role: Role): Promise<void> {
    const { address } = this.host(host)
    const name = `${host}-${role}`
    await Promise.all(this.rolePorts(host, role).map(async (port) =>
      await this.poll(`${name} to listen on ${address}:${port}`, async () => await this.isOpen(name, address, port))))
    await this.refuse(host, role, false)
  }

  private async isOpen (name: string, address: string, port: number): Promise<boolean> {
    const child = this.process(name)
    if (!child.isRunning) throw new ProcessEnded(name, child.readLogTail())
    return await new Promise((resolve) => {
      const socket = connect(port, address)
      socket.on('connect', () => { socket.destroy(); resolve(true) })
      socket.on('error', () => resolve(false))
    })
  }

  private async poll (what: string, check: () => Promise<boolean>, timeoutMs = readyTimeoutMs): Promise<void> {
    const endMs = performance.now() + timeoutMs
    while (performance.now() < endMs) {
      if (await this.tryCheck(check)) return
      await new Promise((resolve) => setTimeout(resolve, pollMs))
    }
    throw new Error(`gave up after ${timeoutMs} ms of waiting for ${what}`)
  }

  private async tryCheck (check: () => Promise<boolean>): Promise<boolean> {
    try {
      return await check()
    } catch (err) {
      if (err instanceof ProcessEnded) throw err
      return false
    }
  }

  private describeFailures (): string {
    return [...this.processes.values()]
      .filter((child) => child.pid !== undefined && !child.isRunning)
      .map((child) => `${child.name} ended; its last lines:\n${child.readLogTail()}`)
      .join('\n')
  }
}

/** A process ended while the cluster waited for it. */
class ProcessEnded extends Error {
  constructor (name: string, logTail: string) {
    super(`${name} ended:\n${logTail}`)
  }
}
