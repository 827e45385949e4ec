import type { IncomingMessage, ServerResponse } from 'node:http'
import { createFailure } from '../common/createFailure.js'
import { CredentialThrottle } from '../common/CredentialThrottle.js'
import { Daemon } from '../common/Daemon.js'
import type { DaemonContext } from '../common/DaemonContext.js'
import { DialMap } from '../common/DialMap.js'
import { HealthRoutes } from '../common/HealthRoutes.js'
import { HttpListener } from '../common/HttpListener.js'
import { readRequestId } from '../common/readRequestId.js'
import { sendFailure } from '../common/sendFailure.js'
import { AgentClient } from '../control/AgentClient.js'
import { createRegistry } from '../metrics/createRegistry.js'
import { BlockFile } from './BlockFile.js'
import { LookupMetrics } from './LookupMetrics.js'
import { LookupRoutes } from './LookupRoutes.js'
import { LookupService } from './LookupService.js'
import { NearestRanking } from './NearestRanking.js'

/** Limits how long a stop waits for lookups in flight; a lookup takes about 1 ms. */
const closeTimeoutMs = 2_000

/** The lookup process of a host. */
export class LookupDaemon extends Daemon {
  private readonly blocks: BlockFile | undefined
  private readonly service: LookupService
  private readonly agentLink: AgentClient
  private readonly listener: HttpListener

  constructor (private readonly context: DaemonContext) {
    super()
    const { settings, clock, createModuleLogger } = context
    const registry = createRegistry({ host: settings.host, process: 'shunt-lookup' })
    const metrics = new LookupMetrics(registry, clock)
    this.blocks = settings.blocksFile === undefined ? undefined : new BlockFile(settings.blocksFile, clock)
    this.service = new LookupService({
      clock,
      ranking: new NearestRanking(),
      zone: settings.zone,
      tls: settings.tls !== undefined,
      findSite: (client) => this.blocks?.findSite(client)
    })
    this.agentLink = new AgentClient({
      self: { name: settings.host, role: 'lookup', incarnation: Math.floor(clock.wallMs()) },
      address: `${settings.address}:${settings.ports.agent}`,
      clusterKey: settings.clusterKey,
      dial: new DialMap(settings.dial),
      clock,
      onRequest: () => undefined
    })
    metrics.registerGauges(registry, {
      configVersion: () => this.service.version ?? 0,
      viewAgeMs: () => Math.min(Number.MAX_SAFE_INTEGER, this.agentLink.viewAgeMs),
      blocks: () => this.blocks?.current?.blockCount ?? 0
    })
    const health = new HealthRoutes({ registry, findNotReadyReason: () => this.findNotReadyReason() })
    const routes = new LookupRoutes({ service: this.service, throttle: new CredentialThrottle(clock), metrics, clock, ownAddress: settings.address })
    this.listener = new HttpListener({
      limits: settings.limits,
      tls: settings.tls,
      logger: createModuleLogger('http'),
      onRequest: (req, res) => { if (!health.handle(req, res) && !routes.handle(req, res)) rejectUnknownPath(req, res) }
    })
  }

  async start (): Promise<void> {
    const { settings, createModuleLogger } = this.context
    const logger = createModuleLogger('lookup')
    this.agentLink.on('config', (doc) => {
      this.service.applyConfig(doc)
      logger.info('config-applied', { version: doc.version })
    })
    this.agentLink.on('view', (view) => this.service.applyView(view))
    this.blocks?.on('loaded', (table, elapsedMs) => logger.info('blocks-loaded', { blocks: table.blockCount, sites: table.siteCount, bytes: table.byteLength, ms: Math.round(elapsedMs) }))
    this.blocks?.on('failed', (message) => logger.error('blocks-refused', { message }))
    await this.listener.listen(settings.address, settings.ports.lookup)
    this.blocks?.start()
    this.agentLink.start()
  }

  override async stop (): Promise<void> {
    this.agentLink.stop()
    this.blocks?.stop()
    await this.listener.close(closeTimeoutMs)
  }

  private findNotReadyReason (): string | undefined {
    if (this.service.version === undefined) return 'no configuration has been received from the agent'
    if (this.blocks !== undefined && this.blocks.current === undefined) return 'the block table is not loaded'
    return undefined
  }
}

function rejectUnknownPath (req: IncomingMessage, res: ServerResponse): void {
  sendFailure(res, createFailure('badRequest', { message: 'This port serves /v1/lookup, /health/alive, /health/ready and /metrics.' }), readRequestId(req))
}
