import type { Registry } from 'prom-client'
import type { Clock } from '../common/Clock.js'
import { DialMap } from '../common/DialMap.js'
import type { Logger } from '../common/Logger.js'
import { Scheduler } from '../common/Scheduler.js'
import { sleep } from '../common/sleep.js'
import { System } from '../common/System.js'
import type { Settings } from '../config/Settings.js'
import { AgentClient } from '../control/AgentClient.js'
import type { RequestMetrics } from '../metrics/RequestMetrics.js'
import type { ConfigDoc } from '../model/ConfigDoc.js'
import { DrainKind } from '../model/DrainKind.js'
import type { View } from '../model/View.js'
import { FrameServer } from '../wire/FrameServer.js'
import type { Message } from '../wire/Message.js'
import type { PeerIdentity } from '../wire/PeerIdentity.js'
import { AdminServer } from './AdminServer.js'
import { DigestSystem } from './DigestSystem.js'
import { EntryGateway } from './EntryGateway.js'
import type { CreateEntryModules } from './CreateEntryModules.js'
import type { EntryModules } from './EntryModules.js'
import { explainRequest } from './explainRequest.js'
import type { OperationMetrics } from './OperationMetrics.js'
import { OperationSystem } from './OperationSystem.js'
import { PeerLinks } from './PeerLinks.js'
import { PlannedStop } from './PlannedStop.js'
import { ProbeSystem } from './ProbeSystem.js'
import { routePeerMessage } from './routePeerMessage.js'
import { SlowReaderSystem } from './SlowReaderSystem.js'
import { TlsReloader } from './TlsReloader.js'

/** Settings and dependencies of the daemon. */
interface EntryDaemonOptions {
  readonly settings: Settings
  /** Start of the process in ms since the Unix epoch, higher than all earlier incarnations of the host. */
  readonly incarnation: number
  readonly clock: Clock
  readonly createLog: (module: string) => Logger
  readonly metrics: RequestMetrics & OperationMetrics
  readonly registry: Registry
  readonly createModules: CreateEntryModules
  /** Called when the drain of the host is cancelled after it began; only a daemon with a new incarnation may serve again. */
  readonly onDrainCancelled: () => void
}

const tickMs = 10
const finalDigestDelayMs = 50

/** Runs the entry process of a host: data path, policy modules, and connections to the agent and to other hosts. */
export class EntryDaemon {
  private readonly log: Logger
  private readonly self: PeerIdentity
  private readonly agentLink: AgentClient
  private readonly peers: PeerLinks
  private readonly peerServer: FrameServer
  private readonly modules: EntryModules
  private readonly gateway: EntryGateway
  private readonly admin: AdminServer
  private readonly tls: TlsReloader | undefined
  private readonly digest: DigestSystem
  private readonly scheduler: Scheduler
  private readonly plannedStop: PlannedStop
  private isStopping = false
  private isListening = false

  constructor (private readonly options: EntryDaemonOptions) {
    const { settings, clock, createLog } = options
    const dial = new DialMap(settings.dial)
    this.log = createLog('entry')
    this.self = { name: settings.host, role: 'entry', incarnation: options.incarnation }
    const identity = { self: this.self, clusterKey: settings.clusterKey, dial, clock }
    this.peers = new PeerLinks(identity)
    this.modules = options.createModules({ host: settings.host, incarnation: this.self.incarnation, clock, messenger: this.peers })
    this.tls = settings.tls === undefined ? undefined : new TlsReloader(settings.tls, this.log)
    this.gateway = this.createGateway(dial)
    this.agentLink = new AgentClient({
      ...identity,
      address: `${settings.address}:${settings.ports.agent}`,
      onRequest: (message) => this.handleAgentRequest(message)
    })
    this.peerServer = new FrameServer({
      self: this.self,
      clusterKey: settings.clusterKey,
      onMessage: (message, peer) => routePeerMessage(this.modules, message, peer)
    })
    this.admin = new AdminServer({ registry: options.registry, findNotReadyReason: () => this.findNotReadyReason() })
    this.digest = this.createDigest()
    this.scheduler = this.createScheduler()
    this.plannedStop = new PlannedStop({
      gateway: this.gateway,
      modules: this.modules,
      logger: this.log,
      sendDigest: () => this.digest.run(clock.nowMs()),
      stopTimeoutMs: settings.stopTimeoutMs,
      clock,
      metrics: options.metrics
    })
  }

  /** Number of requests in flight, from callers and forwarded by other hosts. */
  get inFlight (): number {
    return this.gateway.inFlight
  }

  /** Number of open connections from callers. */
  get connections (): number {
    return this.gateway.callerServer.connections
  }

  /** Returns the reason why this host is not ready for new requests, or undefined if it is ready. */
  private findNotReadyReason (): string | undefined {
    if (this.gateway.state.isLeaving) return 'the host is leaving'
    if (this.gateway.state.config === undefined) return 'no configuration yet'
    return this.isListening ? undefined : 'not listening'
  }

  async start (): Promise<void> {
    const { address, ports } = this.options.settings
    this.agentLink.on('config', (doc) => this.applyConfig(doc))
    this.agentLink.on('view', (view) => this.applyView(view))
    await this.admin.listen(address, ports.entryAdmin)
    await this.peerServer.listen(address, ports.peer)
    await this.gateway.listen()
    this.isListening = true
    this.tls?.start((material) => this.gateway.callerServer.replaceCertificate(material))
    this.agentLink.start()
    this.scheduler.start(tickMs)
    this.log.info('listening', { address, callerPort: ports.caller, incarnation: this.self.incarnation })
  }

  /** Runs the planned stop, which waits for requests in flight, and closes all servers and connections. */
  async stop (): Promise<void> {
    this.isStopping = true
    await this.plannedStop.run()
    this.isListening = false
    this.digest.run(this.options.clock.nowMs())
    await sleep(finalDigestDelayMs)
    this.scheduler.stop()
    this.tls?.stop()
    this.agentLink.stop()
    this.peers.close()
    this.admin.close()
    this.gateway.close()
    await this.peerServer.close()
  }

  private applyConfig (doc: ConfigDoc): void {
    this.peers.setConfig(doc)
    this.modules.share.setConfig(doc)
    this.modules.claim.setConfig(doc)
    this.modules.steer.setConfig(doc)
    this.gateway.setConfig(doc)
    this.digest.run(this.options.clock.nowMs())
    this.log.info('config-applied', { version: doc.version })
    this.applyDrains(doc)
  }

  private applyView (view: View): void {
    this.modules.share.setView(view)
    this.modules.claim.setView(view)
    this.modules.steer.setView(view)
    this.gateway.setView(view)
  }

  private applyDrains (doc: ConfigDoc): void {
    const { host, zone } = this.options.settings
    const isDrained = doc.drains.some((drain) =>
      (drain.kind === DrainKind.host && drain.name === host) || (drain.kind === DrainKind.zone && drain.name === zone))
    if (this.isStopping) return
    if (isDrained) {
      this.plannedStop.run().catch((error: unknown) => this.log.error('drain-failed', { error: String(error) }))
    } else if (this.plannedStop.isStarted) {
      this.isStopping = true
      this.options.onDrainCancelled()
    }
  }

  private handleAgentRequest (message: Message): Message | undefined {
    if (message.t !== 'explain') return undefined
    return { t: 'explained', steps: explainRequest(message, { modules: this.modules, state: this.gateway.state }) }
  }

  private createGateway (dial: DialMap): EntryGateway {
    const { settings, clock, createLog, metrics } = this.options
    return new EntryGateway({
      host: settings.host,
      address: settings.address,
      ports: settings.ports,
      clusterKey: settings.clusterKey,
      limits: settings.limits,
      tls: this.tls?.load(),
      clock,
      dial,
      logger: createLog('request'),
      metrics,
      admission: this.modules.share,
      claims: this.modules.claim,
      steering: this.modules.steer
    })
  }

  private createDigest (): DigestSystem {
    return new DigestSystem({
      host: this.options.settings.host,
      incarnation: this.self.incarnation,
      modules: this.modules,
      state: this.gateway.state,
      countInFlight: () => this.gateway.inFlight,
      isServing: () => this.isListening && this.gateway.state.config !== undefined,
      send: (digest) => this.agentLink.sendDigest(digest)
    })
  }

  private createScheduler (): Scheduler {
    const { share, claim, steer } = this.modules
    const systems = [
      new ModuleSystem('share', share),
      new ModuleSystem('claim', claim),
      new ModuleSystem('steer', steer),
      new ProbeSystem(steer, this.gateway.probeClient),
      new OperationSystem(steer, this.options.metrics),
      new SlowReaderSystem({ server: this.gateway.callerServer, onClosed: (closed) => this.log.warn('responses-not-read', closed) }),
      this.digest
    ]
    return new Scheduler(this.options.clock, systems, (system, error) => {
      this.log.error('tick-failed', { system: system.name, error: error instanceof Error ? error.message : String(error) })
    })
  }
}

/** Runs a policy module on each tick. */
class ModuleSystem extends System {
  constructor (override readonly name: string, private readonly module: { tick: (nowMs: number) => void }) {
    super()
  }

  override run (nowMs: number): void {
    this.module.tick(nowMs)
  }
}
