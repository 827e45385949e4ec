import { setTimeout as sleep } from 'node:timers/promises'
import { err } from 'neverthrow'
import type { Result } from 'neverthrow'
import { z } from 'zod'
import type { Clock } from '../common/Clock.js'
import { createFailure } from '../common/createFailure.js'
import { Daemon } from '../common/Daemon.js'
import type { DaemonContext } from '../common/DaemonContext.js'
import { DialMap } from '../common/DialMap.js'
import type { Failure } from '../common/Failure.js'
import type { Logger } from '../common/Logger.js'
import { StartupGate } from '../common/StartupGate.js'
import { decodeCustomerUsage } from '../membership/decodeCustomerUsage.js'
import { digestSchema } from '../membership/digestSchema.js'
import type { Listing } from '../membership/Listing.js'
import { Membership } from '../membership/Membership.js'
import { MemberTable } from '../membership/MemberTable.js'
import type { CustomerUsage } from '../model/CustomerUsage.js'
import type { Member } from '../model/Member.js'
import { MemberState } from '../model/MemberState.js'
import type { View } from '../model/View.js'
import type { HostList } from '../platform/HostList.js'
import type { ObjectStore } from '../platform/ObjectStore.js'
import type { TableService } from '../platform/TableService.js'
import type { FrameConnection } from '../wire/FrameConnection.js'
import { FrameServer } from '../wire/FrameServer.js'
import type { Message } from '../wire/Message.js'
import type { PeerIdentity } from '../wire/PeerIdentity.js'
import { AgentMetrics } from './AgentMetrics.js'
import type { AgentState } from './AgentState.js'
import type { ComputePortions } from './ComputePortions.js'
import { ConfigStore } from './ConfigStore.js'
import { ConfigHolder } from './ConfigHolder.js'
import { ConfigReader } from './ConfigReader.js'
import { ConfigWriter } from './ConfigWriter.js'
import type { HeldConfig } from './HeldConfig.js'
import type { HostReachability } from './HostReachability.js'
import type { MemberDifference } from './MemberDifference.js'
import { ListingReader } from './ListingReader.js'
import { OperatorApi } from './OperatorApi.js'
import { OperatorAuth } from './OperatorAuth.js'
import { OperatorServer } from './OperatorServer.js'
import { ReportPublisher } from './ReportPublisher.js'
import { PeerExchange } from './PeerExchange.js'
import { ViewPublisher } from './ViewPublisher.js'

/** Services and settings that an agent is created with. */
interface AgentOptions {
  readonly context: DaemonContext
  readonly table: TableService
  readonly objects: ObjectStore
  readonly hosts: HostList
  readonly computePortions: ComputePortions
}

const pollIntervalMs = 1_000
const tickMs = 50
const explainTimeoutMs = 2_000
const leaveDelayMs = 100
const compareTimeoutMs = 1_000
const maxComparedPeers = 16
const membersSchema = z.record(z.string(), z.string())

/** Control plane of one host: takes part in the membership, reads and writes the configuration, and publishes views to local processes. */
export class Agent extends Daemon implements AgentState {
  readonly holder = new ConfigHolder()
  readonly writer: ConfigWriter
  readonly metrics: AgentMetrics
  private readonly reader: ConfigReader
  private readonly members: MemberTable
  private readonly membership: Membership
  private readonly exchange: PeerExchange
  private readonly publisher: ViewPublisher
  private readonly frames: FrameServer
  private readonly operators: OperatorServer
  private readonly log: Logger
  private readonly clock: Clock
  private readonly timers: NodeJS.Timeout[] = []
  private readonly report: ReportPublisher
  private readonly listing: ListingReader
  private leaving = false

  constructor (private readonly options: AgentOptions) {
    super()
    const { context, table, objects } = options
    const { settings, clock, createModuleLogger: createLog } = context
    this.clock = clock
    const { host: name, zone, clusterKey } = settings
    const incarnation = clock.wallMs()
    const store = new ConfigStore(table, objects)
    this.log = createLog('agent')
    this.members = new MemberTable({ host: name, zone, incarnation })
    this.membership = new Membership(this.members, incarnation)
    this.report = new ReportPublisher({ members: this.members, clock, onChange: (urgent) => this.handleReportChange(urgent) })
    this.listing = new ListingReader({ hosts: options.hosts, clock, onListing: (found) => this.report.setListing(found) })
    this.reader = new ConfigReader({ store, holder: this.holder, clock, log: createLog('config') })
    this.writer = new ConfigWriter({
      store,
      holder: this.holder,
      clock,
      log: createLog('config'),
      getContext: () => this.buildChangeContext(),
      onAccepted: (held) => this.exchange.push(held)
    })
    this.publisher = new ViewPublisher({ holder: this.holder, clock, log: createLog('view'), buildView: () => this.buildView() })
    this.frames = new FrameServer({
      self: { name, role: 'agent', incarnation },
      clusterKey,
      onMessage: async (message, peer, connection) => await this.receive(message, peer, connection),
      onReady: (peer, connection) => this.handlePeer(peer, connection),
      onClose: (peer, failure, connection) => this.handleClose(peer, failure, connection)
    })
    const auth = new OperatorAuth(settings.operators, clock)
    const api = new OperatorApi(this)
    this.metrics = new AgentMetrics({ state: this, getWrongCredentials: () => auth.wrongCount })
    this.operators = new OperatorServer({
      settings,
      logger: createLog('operator'),
      auth,
      registry: this.metrics.registry,
      onRequest: async (request) => await api.handle(request),
      findNotReadyReason: () => this.findNotReadyReason()
    })
    const gate = new StartupGate({ clock, hasResult: () => this.reader.hasResult })
    this.exchange = new PeerExchange({
      self: { name, role: 'agent', incarnation },
      clusterKey,
      dial: new DialMap(settings.dial),
      clock,
      log: createLog('exchange'),
      membership: this.membership,
      holder: this.holder,
      mayRelyOnPeers: () => gate.isOpen,
      seeds: settings.seeds.filter((seed) => seed !== `${settings.address}:${settings.ports.agent}`),
      onChange: (urgent) => this.publisher.schedule(urgent),
      onSuspect: () => this.metrics.suspicions.inc(),
      onProbe: (result) => this.metrics.indirectProbes.inc({ result }),
      onRefusedConfig: (relation) => this.metrics.refusedConfigs.inc({ relation }),
      onProtocolFailure: ({ name: reason }) => this.metrics.frameFailures.inc({ reason })
    })
    this.holder.on('applied', (held) => this.applyConfig(held))
  }

  get host (): string {
    return this.options.context.settings.host
  }

  async start (): Promise<void> {
    const { address, ports } = this.options.context.settings
    await this.frames.listen(address, ports.agent)
    await this.operators.listen()
    this.timers.push(setInterval(() => this.tick(), tickMs))
    this.timers.push(setInterval(() => { this.poll().catch((error: unknown) => this.logCrash(error)) }, pollIntervalMs))
    await this.poll()
    this.log.info('started', { address, agentPort: ports.agent, operatorPort: ports.operator })
  }

  /** Announces that the host is leaving, pauses so that the announcement can be sent, and stops. */
  override async stop (): Promise<void> {
    this.leaving = true
    const { digest } = this.report
    if (digest !== undefined) this.report.setDigest({ ...digest, leaving: true })
    this.exchange.flush()
    await sleep(leaveDelayMs)
    for (const timer of this.timers) clearInterval(timer)
    this.publisher.stop()
    this.exchange.close()
    await this.operators.close()
    await this.frames.close()
    this.log.info('stopped')
  }

  listMembers (): readonly Member[] {
    return this.members.listMembers(this.clock.nowMs())
  }

  listUses (host: string): readonly CustomerUsage[] {
    return decodeCustomerUsage(this.members.get(host)?.report?.uses)
  }

  /** Returns 0 when no other host is configured, since there is no contact to lose. */
  getContactAgeMs (): number {
    const alone = this.holder.held?.doc.hosts.every(({ name }) => name === this.host) === true
    return alone ? 0 : this.clock.nowMs() - this.membership.contactMs
  }

  getFault (): Failure | undefined {
    return this.reader.fault
  }

  /** Returns the union of the lists that live agents report: an endpoint or host is leaving when any one of them lists it. */
  getLeavingListing (): Listing {
    const listings = [...this.members.list()].filter(({ state }) => state === MemberState.alive).flatMap(({ report }) => report?.listing ?? [])
    return {
      endpoints: [...new Set(listings.flatMap(({ endpoints }) => endpoints))].sort(),
      hosts: [...new Set(listings.flatMap(({ hosts }) => hosts))].sort()
    }
  }

  async compareMembers (): Promise<readonly MemberDifference[]> {
    const here = summarizeMembers(this.listMembers())
    const peers = this.membership.listPeers().slice(0, maxComparedPeers)
    const answers = await Promise.all(peers.map(async (by) => ({ by, answer: await this.exchange.request(by, { t: 'members' }, compareTimeoutMs) })))
    return answers.flatMap(({ by, answer }) => {
      const parsed = membersSchema.safeParse(answer?.isOk() === true ? answer.value.members : undefined)
      return parsed.success ? listDifferences(by, here, parsed.data) : [{ by, host: by, here: 'asked', there: 'no answer' }]
    })
  }

  async requestFromEntry (message: Message): Promise<Result<Message, Failure>> {
    const connection = this.publisher.findEntry()
    if (connection === undefined) {
      return err(createFailure('notReady', {
        message: `The entry process of host "${this.host}" is not connected to its agent; send the request to another host.`
      }))
    }
    return await connection.request(message, explainTimeoutMs)
  }

  private findNotReadyReason (): string | undefined {
    if (this.leaving) return 'the host is leaving'
    return this.holder.held === undefined ? 'no configuration has been loaded yet' : undefined
  }

  private tick (): void {
    try {
      this.exchange.tick()
      this.report.publishPending()
      this.publisher.tick()
    } catch (error) {
      this.logCrash(error)
    }
  }

  /** Reads the platform if this host is its zone's relay (the first live host); a host without a configuration reads the configuration too. */
  private async poll (): Promise<void> {
    const isReader = this.membership.isRelay(this.clock.nowMs())
    if (!isReader) this.report.setListing(undefined)
    const wasFirstStart = this.isFirstStart
    await Promise.all([
      isReader || this.holder.version === 0 ? this.reader.poll() : undefined,
      isReader ? this.listing.poll() : undefined
    ])
    if (this.isFirstStart !== wasFirstStart) this.publisher.schedule(true)
  }

  /** True when the platform has no configuration and no agent has announced one. */
  private get isFirstStart (): boolean {
    return this.reader.isPlatformEmpty && this.holder.observedVersion === 0
  }

  private handleReportChange (urgent: boolean): void {
    if (urgent) this.exchange.flushSoon()
    this.publisher.schedule(urgent)
  }

  private applyConfig (held: HeldConfig): void {
    const { doc, writeId } = held
    this.log.info('config-applied', { version: doc.version, writeId })
    this.exchange.setConfig(doc)
    this.membership.setHeldConfig({ lineage: doc.lineage, version: doc.version, writeId })
    this.exchange.flushSoon()
    this.publisher.schedule(true)
  }

  private buildView (): Omit<View, 'seq'> {
    const { endpoints, hosts } = this.getLeavingListing()
    return {
      contactAgeMs: this.getContactAgeMs(),
      configVersion: this.holder.version,
      isFirstStart: this.isFirstStart,
      members: this.listMembers(),
      leavingEndpoints: endpoints,
      leavingHosts: hosts
    }
  }

  private buildChangeContext (): { reachability: HostReachability[], leavingEndpoints: ReadonlySet<string>, computePortions: ComputePortions } {
    const members = this.listMembers()
    return {
      reachability: members.map(({ host, state, digest }) => ({
        host, reachable: state === MemberState.alive, appliedVersion: digest?.appliedVersion ?? 0
      })),
      leavingEndpoints: new Set([...this.getLeavingListing().endpoints, ...members.flatMap(({ digest }) => digest?.leavingEndpoints ?? [])]),
      computePortions: this.options.computePortions
    }
  }

  private handlePeer (peer: PeerIdentity, connection: FrameConnection): void {
    if (peer.role === 'agent') return
    if (peer.name !== this.host) {
      this.log.warn('foreign-process-refused', { peer: peer.name, role: peer.role })
      return connection.close(createFailure('frameAuth', { message: 'the process belongs to another host' }))
    }
    this.log.info('process-connected', { role: peer.role, incarnation: peer.incarnation })
    this.publisher.add(connection, peer.role)
  }

  private handleClose (peer: PeerIdentity | undefined, failure: Failure | undefined, connection: FrameConnection): void {
    if (failure !== undefined) this.metrics.frameFailures.inc({ reason: failure.name })
    this.publisher.remove(connection)
    if (this.leaving) return
    if (peer?.role !== 'entry' || peer.name !== this.host || this.publisher.findEntry() !== undefined) return
    this.log.warn('entry-disconnected')
    const { digest } = this.report
    if (digest !== undefined) this.report.setDigest({ ...digest, serving: false })
  }

  private async receive (message: Message, peer: PeerIdentity, connection: FrameConnection): Promise<Message | undefined> {
    if (peer.role === 'agent') {
      if (message.t === 'members') return { t: 'members', members: summarizeMembers(this.listMembers()) }
      return await this.exchange.receive(message, peer, connection)
    }
    if (message.t === 'digest' && peer.role === 'entry' && peer.name === this.host) this.receiveDigest(message.digest)
    return undefined
  }

  private receiveDigest (value: unknown): void {
    const parsed = digestSchema.safeParse(value)
    if (!parsed.success || parsed.data.host !== this.host) {
      this.log.warn('digest-refused', { message: parsed.error?.issues[0]?.message ?? 'another host' })
      return
    }
    this.report.setDigest(this.leaving ? { ...parsed.data, leaving: true } : parsed.data)
  }

  private logCrash (error: unknown): void {
    this.log.error('tick-failed', { message: error instanceof Error ? error.stack ?? error.message : 'unknown' })
  }
}

/** Returns the state and configuration version of each member as text, so that agents can compare their tables. */
function summarizeMembers (members: readonly Member[]): Record<string, string> {
  return Object.fromEntries(members.map(({ host, state, configVersion }) => [host, `${state} ${configVersion}`]))
}

function listDifferences (by: string, here: Readonly<Record<string, string>>, there: Readonly<Record<string, string>>): MemberDifference[] {
  const hosts = [...new Set([...Object.keys(here), ...Object.keys(there)])].sort()
  return hosts
    .filter((host) => here[host] !== there[host])
    .map((host) => ({ by, host, here: here[host] ?? 'unknown', there: there[host] ?? 'unknown' }))
}
