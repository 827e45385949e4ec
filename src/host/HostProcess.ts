import type { Registry } from 'prom-client'
import { ColdStartRateLimiter } from '../budget/ColdStartRateLimiter.js'
import { NamedRateLimiter } from '../budget/NamedRateLimiter.js'
import { RetryBudgetLogSystem } from '../budget/RetryBudgetLogSystem.js'
import { RetryAllowance } from '../budget/RetryAllowance.js'
import { ServiceRetryBudget } from '../budget/ServiceRetryBudget.js'
import { CatalogFollower } from '../catalog/CatalogFollower.js'
import type { CatalogStore } from '../catalog/CatalogStore.js'
import { CatalogTable } from '../catalog/CatalogTable.js'
import { TableFreshnessSystem } from '../catalog/TableFreshnessSystem.js'
import { BehindTableLogSystem } from '../peers/BehindTableLogSystem.js'
import type { HostRecord } from '../peers/HostRecord.js'
import { PeerMesh } from '../peers/PeerMesh.js'
import { PeerTable } from '../peers/PeerTable.js'
import { PeerTraffic } from '../peers/PeerTraffic.js'
import { PeerTrafficLogSystem } from '../peers/PeerTrafficLogSystem.js'
import { StoreReaders } from '../peers/StoreReaders.js'
import { StoreHealth } from '../catalog/StoreHealth.js'
import type { Clock } from '../common/Clock.js'
import { formatException } from '../common/formatException.js'
import { parseDestination } from '../common/parseDestination.js'
import { DialMap } from '../common/DialMap.js'
import { InputEdge } from '../common/InputEdge.js'
import type { Logger } from '../common/Logger.js'
import { Scheduler } from '../common/Scheduler.js'
import { sleep } from '../common/sleep.js'
import type { System } from '../common/System.js'
import { AnnouncementLogSystem } from '../endpoints/AnnouncementLogSystem.js'
import { EndpointTable } from '../endpoints/EndpointTable.js'
import type { DrainableHttpServer } from '../entry/DrainableHttpServer.js'
import type { HttpUpstreamClient } from '../entry/HttpUpstreamClient.js'
import { SlowReaderSystem } from '../entry/SlowReaderSystem.js'
import { ServiceRequestRate } from '../placing/ServiceRequestRate.js'
import { EndpointSelector } from '../placing/EndpointSelector.js'
import { LocalShares } from '../placing/LocalShares.js'
import { LocalShareSystem } from '../placing/LocalShareSystem.js'
import { RoutingTable } from '../routing/RoutingTable.js'
import { WeightedPicker } from '../routing/WeightedPicker.js'
import { ClusterState } from './ClusterState.js'
import { GraceTime } from './GraceTime.js'
import { HostRegistration } from './HostRegistration.js'
import type { HttpBinding } from './HttpBinding.js'
import { HealthChecker } from './HealthChecker.js'
import { hostLimits } from './hostLimits.js'
import { createCallerServer } from './createCallerServer.js'
import { createEndpointClient } from './createEndpointClient.js'
import { createHostGauges } from './createHostGauges.js'
import { HostDenialPolicy } from './HostDenialPolicy.js'
import { HostTableFreshness } from './HostTableFreshness.js'
import { HostMetrics } from './HostMetrics.js'
import type { RejectedInput } from '../metrics/RejectedInput.js'
import type { HostSettings } from './HostSettings.js'
import { HostStatus } from './HostStatus.js'
import { KnownHosts } from './KnownHosts.js'
import { MaintenanceSystem } from './MaintenanceSystem.js'
import { NoticeRecorder } from './NoticeRecorder.js'
import { RequestHandler } from './RequestHandler.js'
import { RequestLog } from './RequestLog.js'
import { AuxiliaryPorts } from './AuxiliaryPorts.js'

/** Dependencies of a host process. */
interface HostProcessOptions {
  /** Settings at process start. */
  readonly settings: HostSettings
  readonly store: CatalogStore
  readonly httpBinding: HttpBinding
  readonly clock: Clock
  readonly registry: Registry
  readonly rejected: RejectedInput
  readonly createModuleLogger: (module: string) => Logger
  readonly random: () => number
}

const drainPollMs = 20

/** Runs a host: serves callers' requests, lookups and readiness checks, and maintains the links to the store and to other hosts. */
export class HostProcess {
  private readonly log: Logger
  private settings: HostSettings
  private readonly self: HostRecord & { linkMbps: number }
  private readonly routing = new RoutingTable()
  private readonly health = new StoreHealth()
  private readonly endpoints: EndpointTable
  private readonly notices: NoticeRecorder
  private readonly peers: PeerTable
  private readonly knownHosts: KnownHosts
  private readonly state: ClusterState
  private readonly requestRate: ServiceRequestRate
  private readonly shares = new LocalShares()
  private readonly endpointSelector: EndpointSelector
  private readonly readers: StoreReaders
  private readonly mesh: PeerMesh
  private readonly client: HttpUpstreamClient
  private readonly retryAllowance: RetryAllowance
  private readonly retries: ServiceRetryBudget
  private readonly handler: RequestHandler
  private readonly front: DrainableHttpServer
  private readonly auxiliaryPorts: AuxiliaryPorts
  private readonly followers: readonly CatalogFollower[]
  private readonly scheduler: Scheduler
  private readonly freshness = new HostTableFreshness({
    getUnconfirmedMs: (table, nowMs) => this.readers.getTableAge(table, nowMs),
    getBehindMs: (table, nowMs) => this.mesh.getBehindMs(table, nowMs),
    readBounds: () => this.settings.bounds
  })

  private readonly graceTime: GraceTime
  private readonly registration: HostRegistration
  private isLeaving = false

  constructor (private readonly options: HostProcessOptions) {
    const { settings, clock, createModuleLogger: createLog, httpBinding } = options
    this.settings = settings
    const dial = new DialMap(settings.dial)
    this.log = createLog('host')
    this.graceTime = new GraceTime(clock)
    this.self = {
      name: settings.name,
      zone: settings.zone,
      region: settings.region,
      callerAddress: settings.listen.callers,
      peerAddress: settings.listen.peers,
      linkMbps: settings.linkMbps,
      incarnation: clock.wallMs()
    }
    this.endpoints = new EndpointTable((zone) => this.settings.regionOfZone[zone] ?? '', () => this.settings.bounds.drainMs)
    this.notices = new NoticeRecorder({ endpoints: this.endpoints, clock, logger: createLog('endpoints'), rejected: options.rejected })
    this.peers = new PeerTable(settings.name)
    this.requestRate = new ServiceRequestRate(clock.nowMs())
    this.state = new ClusterState({
      routing: this.routing,
      endpoints: this.endpoints,
      peers: this.peers,
      health: this.health,
      clock,
      logger: createLog('cluster'),
      onConfigApplied: () => this.front.setTimeouts(this.routing.config!.limits),
      onStoreChange: () => this.mesh.relay(),
      confirmSettled: (isOwnSettled) => this.readers.isSettled(isOwnSettled)
    })
    this.knownHosts = new KnownHosts({
      self: this.self,
      peers: this.peers,
      clock,
      isReady: () => this.isReady,
      hasTable: () => this.state.catalog.versionOf(CatalogTable.hosts) >= 0
    })
    const status = new HostStatus({
      region: settings.region,
      clock,
      endpoints: this.endpoints,
      health: this.health,
      state: this.state,
      requestRate: this.requestRate,
      shares: this.shares,
      freshness: this.freshness,
      isReady: () => this.isReady,
      isLeaving: () => this.isLeaving
    })
    this.readers = new StoreReaders({ self: this.self, peers: this.peers, health: this.health, clock, getStaleAfterMs: (table) => this.freshness.getStaleAfterMs(table) })
    const traffic = new PeerTraffic(options.registry, clock)
    this.mesh = new PeerMesh({
      self: this.self,
      clusterKey: settings.clusterKey,
      dial,
      listSeeds: () => this.settings.seeds,
      catalog: this.state.catalog,
      peers: this.peers,
      clock,
      logger: createLog('peers'),
      rejected: options.rejected,
      traffic,
      random: options.random,
      isReader: (host) => this.readers.isReader(host),
      describeSelf: (region) => status.describe(region)
    })
    this.client = createEndpointClient(dial, clock, options.rejected)
    this.endpointSelector = this.createEndpointSelector()
    this.retryAllowance = new RetryAllowance({
      // At the very first start of the system there is no earlier process.
      startMs: settings.isFirstStart ? -Infinity : clock.nowMs(),
      readWindowMs: () => this.settings.bounds.retryWindowMs,
      countHosts: () => this.knownHosts.count()
    })
    this.retries = new ServiceRetryBudget(() => this.settings.bounds, (nowMs) => this.retryAllowance.get(nowMs))
    const metrics = new HostMetrics(options.registry, clock)
    this.handler = this.createHandler(metrics, status)
    this.front = createCallerServer({ clock, rejected: options.rejected, metrics, logger: this.log, isLeaving: () => this.isLeaving, onRequest: (req, res) => this.handler.handle(req, res) })
    this.auxiliaryPorts = new AuxiliaryPorts({
      listen: settings.listen,
      readMaxTtlMs: () => this.settings.bounds.maxTtlMs,
      httpBinding,
      registry: options.registry,
      logger: this.log,
      isReady: () => this.isReady,
      listServing: () => this.knownHosts.listServing()
    })
    this.followers = this.createFollowers()
    this.registration = new HostRegistration({ store: options.store, catalog: this.state.catalog, self: this.self, logger: this.log, isLeaving: () => this.isLeaving })
    const checker = new HealthChecker({ endpoints: this.endpoints, dial, routing: this.routing, httpBinding, notices: this.notices, clock, logger: createLog('endpoints') })
    this.scheduler = new Scheduler(
      clock,
      [checker, this.registration, this.createMaintenanceSystem(), this.createShareSystem(), ...this.createLogSystems(traffic), this.createSlowReaderSystem()],
      (system, error) => {
        this.log.error('tick-failed', { system: system.name, error: formatException(error) })
      }
    )
    const { front, peers, routing, health, freshness, state, endpoints, retries } = this
    metrics.registerGauges(createHostGauges({ front, peers, routing, health, freshness, state, endpoints, retries, clock }))
  }

  get isReady (): boolean {
    return this.state.isSynced && !this.isLeaving
  }

  async start (): Promise<void> {
    const { host, port } = parseDestination(this.options.settings.listen.callers)
    for (const follower of this.followers) this.runInBackground('follow', follower.run())
    this.registration.start()
    await this.mesh.start()
    await this.auxiliaryPorts.listen()
    await this.front.listen(host, port)
    this.scheduler.start(hostLimits.tickMs)
    this.log.info('listening', { address: this.options.settings.listen.callers, incarnation: this.self.incarnation, isFirstStart: this.settings.isFirstStart })
  }

  /** Applies settings that have changed since the start. */
  applySettings (settings: HostSettings): void {
    const isLinkChanged = settings.linkMbps !== this.settings.linkMbps
    this.settings = settings
    if (!isLinkChanged) return
    this.self.linkMbps = settings.linkMbps
    this.registration.start()
  }

  /** Shuts down gracefully: announces the departure, then waits for requests in flight and callers' connections until the grace time is nearly over. */
  async stop (): Promise<void> {
    const startMs = this.options.clock.nowMs()
    this.graceTime.begin(this.settings.bounds.graceMs - hostLimits.stopMarginMs)
    this.isLeaving = true
    this.mesh.announce()
    await sleep(hostLimits.listenerCloseDelayMs)
    await this.front.drainListener()
    this.front.closeIdle()
    while (this.front.inFlight + this.front.connections > 0 && !this.graceTime.hasEnded) await sleep(drainPollMs)
    this.log.info('left', { inFlight: this.front.inFlight, ms: Math.round(this.options.clock.nowMs() - startMs) })
    this.scheduler.stop()
    for (const follower of this.followers) follower.stop()
    this.auxiliaryPorts.close()
    this.client.close()
    this.options.store.close()
    this.front.closeAll()
    await this.mesh.stop()
  }

  private createFollowers (): CatalogFollower[] {
    const { store, clock, random, createModuleLogger: createLog } = this.options
    const options = {
      store,
      catalog: this.state.catalog,
      health: this.health,
      clock,
      logger: createLog('store'),
      random,
      shouldRead: (table: CatalogTable) => this.readers.shouldRead(table),
      freshness: this.freshness,
      getReaderPlace: () => this.readers.getPlace()
    }
    return Object.values(CatalogTable).map((table) => new CatalogFollower(table, options))
  }

  private createHandler (metrics: HostMetrics, status: HostStatus): RequestHandler {
    const { clock, httpBinding, random, settings, createModuleLogger: createLog } = this.options
    const { routing, endpointSelector, requestRate, retries } = this
    return new RequestHandler({
      region: settings.region,
      clock,
      httpBinding,
      routing,
      denials: new HostDenialPolicy({ freshness: this.freshness, clock, readMaxUnconfirmedMs: () => this.settings.bounds.configApplyMs }),
      picker: new WeightedPicker(),
      endpointSelector,
      requestRate,
      retries,
      client: this.client,
      rejected: this.options.rejected,
      notices: this.notices,
      metrics,
      isSynced: () => this.state.isSynced,
      mayPassOn: (leftMs) => this.graceTime.mayPassOn(leftMs),
      endpointsVersion: () => this.state.catalog.versionOf(CatalogTable.endpoints),
      describeConfigAge: () => status.describeConfigAge(),
      log: new RequestLog(clock, createLog('request'), () => metrics.recordSuppressedLine()),
      random
    })
  }

  private createEndpointSelector (): EndpointSelector {
    const { endpoints, routing, shares, state, peers } = this
    const { settings, random } = this.options
    return new EndpointSelector({
      region: settings.region,
      endpoints,
      routing,
      coldStartLimiter: new ColdStartRateLimiter(settings.name, () => this.knownHosts.listLiveNames()),
      namedRateLimiter: new NamedRateLimiter(settings.name, () => this.knownHosts.listRecentNames()),
      shares,
      getRoundTripMs: (region) => region === settings.region ? 0 : peers.getRoundTripMs(region),
      evacuated: state.evacuatedZones,
      random
    })
  }

  private createMaintenanceSystem (): MaintenanceSystem {
    const { state, endpoints, endpointSelector, peers, log } = this
    return new MaintenanceSystem({ state, endpoints, endpointSelector, peers, logger: log })
  }

  private createShareSystem (): LocalShareSystem {
    const { endpoints, peers, requestRate, shares, state } = this
    const { isFirstStart } = this.options.settings
    return new LocalShareSystem({ region: this.self.region, isFirstStart, endpoints, peers, requestRate, shares, evacuated: state.evacuatedZones })
  }

  private createLogSystems (traffic: PeerTraffic): System[] {
    const { createModuleLogger: createLog } = this.options
    return [
      new TableFreshnessSystem({ freshness: this.freshness, logger: createLog('store') }),
      new BehindTableLogSystem({ listBehind: (nowMs) => this.mesh.listBehind(nowMs), logger: createLog('peers') }),
      new RetryBudgetLogSystem({ retries: this.retries, getShares: (nowMs) => this.retryAllowance.get(nowMs), logger: createLog('request') }),
      new AnnouncementLogSystem(this.endpoints, createLog('endpoints')),
      new PeerTrafficLogSystem(traffic, createLog('peers'))
    ]
  }

  private createSlowReaderSystem (): SlowReaderSystem {
    const { rejected } = this.options
    return new SlowReaderSystem({ server: this.front, onClosed: (closed) => rejected.record(InputEdge.caller, 'responses-not-read', closed) })
  }

  private runInBackground (task: string, promise: Promise<void>): void {
    promise.catch((error: unknown) => this.log.error('task-failed', { task, error: formatException(error) }))
  }
}
