import type { Claims } from '../claim/Claims.js'
import type { Clock } from '../common/Clock.js'
import { formatException } from '../common/formatException.js'
import { CredentialThrottle } from '../common/CredentialThrottle.js'
import type { DialMap } from '../common/DialMap.js'
import type { Logger } from '../common/Logger.js'
import type { Settings } from '../config/Settings.js'
import type { RequestMetrics } from '../metrics/RequestMetrics.js'
import type { ConfigDoc } from '../model/ConfigDoc.js'
import type { View } from '../model/View.js'
import type { AdmissionController } from '../share/AdmissionController.js'
import type { Steering } from '../steer/Steering.js'
import type { AttemptContext } from './AttemptContext.js'
import { Authenticator } from './Authenticator.js'
import { CallerHandler } from './CallerHandler.js'
import { EntryState } from './EntryState.js'
import { DrainableHttpServer } from './DrainableHttpServer.js'
import { HttpUpstreamClient } from './HttpUpstreamClient.js'
import { InternalAuth } from './InternalAuth.js'
import { InternalHandler } from './InternalHandler.js'
import { LookupProxy } from './LookupProxy.js'
import { RequestIds } from './RequestIds.js'
import { RequestPipeline } from './RequestPipeline.js'
import { ServiceLatencies } from './ServiceLatencies.js'
import type { UpstreamClient } from './UpstreamClient.js'

/** Settings and dependencies of the data path. */
interface EntryGatewayOptions {
  readonly host: string
  readonly address: string
  readonly ports: Settings['ports']
  readonly clusterKey: string
  readonly limits: Settings['limits']
  /** Certificate and key for the port of callers. */
  readonly tls?: { readonly cert: string, readonly key: string } | undefined
  readonly clock: Clock
  readonly dial: DialMap
  readonly logger: Logger
  readonly metrics: RequestMetrics
  readonly admission: AdmissionController
  readonly claims: Claims
  readonly steering: Steering
}

/** Slots already limit the connections to an endpoint. With a lower limit here, every second request opened a new connection. */
const maxIdlePerEndpoint = 64
const maxIdlePerHost = 64
/** The idle timeout is longer than for callers, so that forwarded requests seldom need a new connection. */
const internalLimits = { maxConnections: 4_096, maxHeaderBytes: 32_768, headersTimeoutMs: 10_000, idleTimeoutMs: 60_000 }

/** The data path of a host: the servers for callers and for other hosts, and the clients for endpoints and other hosts. */
export class EntryGateway {
  readonly state = new EntryState()
  readonly callerServer: DrainableHttpServer
  readonly internalServer: DrainableHttpServer
  readonly endpointClient: UpstreamClient
  /** Client for health checks. Their responses have no ids, so they get connections of their own. */
  readonly probeClient: UpstreamClient
  private readonly hostClient: UpstreamClient
  private readonly lookupClient: HttpUpstreamClient
  private readonly authenticator: Authenticator
  private readonly latencies = new ServiceLatencies()

  constructor (private readonly options: EntryGatewayOptions) {
    const { clock, dial } = options
    this.endpointClient = new HttpUpstreamClient({ dial, clock, maxIdle: maxIdlePerEndpoint })
    this.probeClient = new HttpUpstreamClient({ dial, clock, maxIdle: 1 })
    this.hostClient = new HttpUpstreamClient({ dial, clock, maxIdle: maxIdlePerHost })
    this.lookupClient = new HttpUpstreamClient({ dial, clock, maxIdle: maxIdlePerHost, isOwnHostTls: options.tls !== undefined })
    this.authenticator = new Authenticator(new CredentialThrottle(clock))
    const context = this.createContext()
    this.callerServer = this.createCallerServer(context)
    this.internalServer = this.createInternalServer(context)
  }

  /** Number of requests without a complete response, from callers and forwarded by other hosts. */
  get inFlight (): number {
    return this.callerServer.inFlight + this.internalServer.inFlight
  }

  setConfig (doc: ConfigDoc): void {
    this.authenticator.setConfig(doc)
    this.latencies.retain(new Set(doc.services.map((service) => service.name)))
    this.state.setConfig(doc)
  }

  setView (view: View): void {
    this.state.denials.setView(view)
  }

  async listen (): Promise<void> {
    const { address, ports } = this.options
    await this.internalServer.listen(address, ports.internal)
    await this.callerServer.listen(address, ports.caller)
  }

  close (): void {
    this.callerServer.closeAll()
    this.internalServer.closeAll()
    this.endpointClient.close()
    this.probeClient.close()
    this.hostClient.close()
    this.lookupClient.close()
  }

  private createContext (): AttemptContext {
    const { host, clock, steering, clusterKey, metrics } = this.options
    return {
      host,
      clock,
      steering,
      metrics,
      latencies: this.latencies,
      endpointClient: this.endpointClient,
      hostClient: this.hostClient,
      auth: new InternalAuth(clusterKey, clock)
    }
  }

  private createCallerServer (context: AttemptContext): DrainableHttpServer {
    const { clock, logger, metrics, admission, claims, limits, tls, address, ports } = this.options
    const { state, authenticator } = this
    const ids = new RequestIds()
    const pipeline = new RequestPipeline({ context, admission, claims, createStateHeaders: () => state.responseHeaders })
    const lookup = new LookupProxy({ client: this.lookupClient, address: `${address}:${ports.lookup}`, state })
    const handler = new CallerHandler({ clock, state, authenticator, pipeline, lookup, ids, metrics, logger })
    return new DrainableHttpServer({
      clock,
      limits,
      tls,
      closesConnections: () => state.isLeaving,
      onRequest: (req, res, expectation) => handler.handle(req, res, expectation),
      createRequestId: () => ids.create(),
      onRefused: (name) => metrics.refused(name, '', ''),
      onException: (error) => logger.error('request-failed', { error: formatException(error) })
    })
  }

  private createInternalServer (context: AttemptContext): DrainableHttpServer {
    const handler = new InternalHandler({ context, state: this.state, logger: this.options.logger })
    return new DrainableHttpServer({
      clock: this.options.clock,
      limits: internalLimits,
      closesConnections: () => this.state.isLeaving,
      onRequest: (req, res) => handler.handle(req, res),
      createRequestId: () => '',
      onRefused: () => {},
      onException: (error) => this.options.logger.error('request-failed', { error: formatException(error) })
    })
  }
}
