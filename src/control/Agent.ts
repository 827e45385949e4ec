import { setTimeout as sleep } from 'node:timers/promises'
import { err } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Clock } from '../common/Clock.js'
import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'
import type { Logger } from '../common/Logger.js'
import type { Settings } from '../config/Settings.js'
import { MemberTable } from '../membership/MemberTable.js'
import type { Digest } from '../model/Digest.js'
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
import { ConfigArchive } from './ConfigArchive.js'
import { ConfigHolder } from './ConfigHolder.js'
import { ConfigReader } from './ConfigReader.js'
import { ConfigWriter } from './ConfigWriter.js'
import type { HostReach } from './HostReach.js'
import type { MemberDifference } from './MemberDifference.js'
import { OperatorApi } from './OperatorApi.js'
import { OperatorAuth } from './OperatorAuth.js'
import { OperatorServer } from './OperatorServer.js'
import { ViewPublisher } from './ViewPublisher.js'

/** What an agent is made of. */
interface AgentOptions {
  readonly settings: Settings
  readonly clock: Clock
  readonly createLog: (module: string) => Logger
  readonly table: TableService
  readonly objects: ObjectStore
  readonly hosts: HostList
  readonly computePortions: ComputePortions
  readonly tls?: { readonly cert: string, readonly key: string } | undefined
}

const readIntervalMs = 1_000
const tickMs = 50
const explainTimeoutMs = 2_000
const leaveDelayMs = 100

/** The control plane of one host. */
export class Agent implements AgentState {
  readonly holder = new ConfigHolder()
  readonly writer: ConfigWriter
  readonly metrics: AgentMetrics
  private readonly reader: ConfigReader
  private readonly members: MemberTable
  private readonly publisher: ViewPublisher
  private readonly frames: FrameServer
  private readonly operators: OperatorServer
  private readonly log: Logger
  private readonly timers: NodeJS.Timeout[] = []
  private leaving = false

  constructor (private readonly options: AgentOptions) {
    const { settings, clock, createLog, table, objects } = options
    const { host: name, zone, clusterKey } = settings
    const incarnation = clock.wallMs()
    const archive = new ConfigArchive(table, objects)
    this.log = createLog('agent')
    this.members = new MemberTable({ host: name, zone, incarnation })
    this.reader = new ConfigReader({ archive, holder: this.holder, clock, log: createLog('config') })
    this.writer = new ConfigWriter({
      archive, holder: this.holder, clock, log: createLog('config'), getContext: () => this.describeHosts(), onAccepted: () => {}
    })
    this.publisher = new ViewPublisher({ holder: this.holder, clock, log: createLog('view'), buildView: () => this.buildView() })
    this.frames = new FrameServer({
      self: { name, role: 'agent', incarnation },
      clusterKey,
      onMessage: (message, peer) => this.receive(message, peer),
      onPeer: (peer, connection) => this.welcome(peer, connection),
      onClose: (peer, failure, connection) => this.release(peer, failure, connection)
    })
    const auth = new OperatorAuth(settings.operators, clock)
    const api = new OperatorApi(this)
    this.metrics = new AgentMetrics({ state: this, getWrongCredentials: () => auth.wrongCount })
    this.operators = new OperatorServer({
      auth,
      onRequest: async (request) => await api.handle(request),
      getMetrics: async () => await this.metrics.print(),
      isReady: () => this.holder.held !== undefined && !this.leaving,
      onError: (error) => this.log.error('operator_request_failed', { message: error instanceof Error ? error.stack ?? error.message : 'unknown' }),
      tls: options.tls
    })
    this.holder.on('applied', ({ doc }) => {
      this.log.info('config_applied', { version: doc.version })
      this.members.setVersion(doc.version)
      this.publisher.announce()
    })
  }

  get host (): string {
    return this.options.settings.host
  }

  async start (): Promise<void> {
    const { address, ports } = this.options.settings
    await this.frames.listen(address, ports.agent)
    await this.operators.listen(address, ports.operator)
    this.timers.push(setInterval(() => this.publisher.tick(), tickMs))
    this.timers.push(setInterval(() => { this.poll().catch((error: unknown) => this.reportCrash(error)) }, readIntervalMs))
    await this.poll()
    this.log.info('started', { address, agentPort: ports.agent, operatorPort: ports.operator })
  }

  /** Announces that the host is leaving, then stops. */
  async stop (): Promise<void> {
    this.leaving = true
    const digest = this.members.self.report?.digest
    if (digest !== undefined) this.setDigest({ ...digest, leaving: true })
    await sleep(leaveDelayMs)
    for (const timer of this.timers) clearInterval(timer)
    this.publisher.stop()
    await this.operators.close()
    await this.frames.close()
    this.log.info('stopped')
  }

  listMembers (): readonly Member[] {
    return this.members.listMembers(this.options.clock.nowMs())
  }

  getContactAgeMs (): number {
    return 0
  }

  getFault (): Failure | undefined {
    return this.reader.fault
  }

  getListed (): { readonly endpoints: readonly string[], readonly hosts: readonly string[] } {
    return { endpoints: [], hosts: [] }
  }

  async compareMembers (): Promise<readonly MemberDifference[]> {
    return []
  }

  async askEntry (message: Message): Promise<Result<Message, Failure>> {
    const connection = this.publisher.findEntry()
    if (connection === undefined) {
      return err(createFailure('notReady', { message: `The entry process of host "${this.host}" is not connected to its agent; ask another host.` }))
    }
    return await connection.request(message, explainTimeoutMs)
  }

  private async poll (): Promise<void> {
    await this.reader.poll()
  }

  private buildView (): Omit<View, 'seq'> {
    const { endpoints, hosts } = this.getListed()
    return {
      contactAgeMs: this.getContactAgeMs(),
      configVersion: this.holder.version,
      members: this.listMembers(),
      leavingEndpoints: endpoints,
      leavingHosts: hosts
    }
  }

  private describeHosts (): { reaches: HostReach[], leavingEndpoints: ReadonlySet<string>, computePortions: ComputePortions } {
    const members = this.listMembers()
    return {
      reaches: members.map(({ host, state, digest }) => ({ host, reachable: state === MemberState.alive, appliedVersion: digest?.appliedVersion ?? 0 })),
      leavingEndpoints: new Set([...this.getListed().endpoints, ...members.flatMap(({ digest }) => digest?.leavingEndpoints ?? [])]),
      computePortions: this.options.computePortions
    }
  }

  private welcome (peer: PeerIdentity, connection: FrameConnection): void {
    if (peer.role === 'agent') return
    if (peer.name !== this.host) {
      this.log.warn('foreign_process_refused', { peer: peer.name, role: peer.role })
      return connection.close(createFailure('frameAuth', { message: 'the process belongs to another host' }))
    }
    this.log.info('process_connected', { role: peer.role, incarnation: peer.incarnation })
    this.publisher.add(connection, peer.role)
  }

  private release (peer: PeerIdentity | undefined, failure: Failure | undefined, connection: FrameConnection): void {
    if (failure !== undefined) this.metrics.frameFailures.inc({ reason: failure.name })
    this.publisher.remove(connection)
    if (peer?.role !== 'entry' || peer.name !== this.host || this.publisher.findEntry() !== undefined) return
    this.log.warn('entry_disconnected')
    const digest = this.members.self.report?.digest
    if (digest !== undefined) this.setDigest({ ...digest, serving: false })
  }

  private receive (message: Message, peer: PeerIdentity): Message | undefined {
    if (message.t === 'digest' && peer.role === 'entry' && peer.name === this.host) this.setDigest(message.digest as Digest)
    return undefined
  }

  private setDigest (digest: Digest): void {
    this.members.setReport({ digest, listing: this.members.self.report?.listing })
    this.publisher.announce()
  }

  private reportCrash (error: unknown): void {
    this.log.error('tick_failed', { message: error instanceof Error ? error.stack ?? error.message : 'unknown' })
  }
}
