import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Registry } from 'prom-client'
import type { Logger } from '../common/Logger.js'
import type { HostRecord } from '../peers/HostRecord.js'
import type { Dialect } from './Dialect.js'
import { hostLimits } from './hostLimits.js'
import type { HostSettings } from './HostSettings.js'
import { listCallerAddresses } from './listCallerAddresses.js'
import { AuxiliaryServer } from './AuxiliaryServer.js'

/** What the ports beside the callers' one answer with. */
interface AuxiliaryPortsOptions {
  readonly listen: HostSettings['listen']
  /** Longest time in ms for which a look-up answer may be used. */
  readonly readMaxTtlMs: () => number
  readonly dialect: Dialect
  readonly registry: Registry
  readonly logger: Logger
  readonly isReady: () => boolean
  /** Hosts that serve callers now. */
  readonly listServing: () => readonly HostRecord[]
}

/** Readiness checks, look-ups of hosts, and metrics. */
export class AuxiliaryPorts {
  private readonly servers: readonly AuxiliaryServer[]
  private readonly metrics: AuxiliaryServer

  constructor (private readonly options: AuxiliaryPortsOptions) {
    const { readiness, directory, metrics } = options.listen
    this.servers = [
      new AuxiliaryServer(readiness, (req, res) => this.answerReadiness(req, res)),
      new AuxiliaryServer(directory, (req, res) => this.answerLookup(req, res))
    ]
    this.metrics = new AuxiliaryServer(metrics, (_req, res) => this.answerMetrics(res))
  }

  /** Rejects when an address that callers or the platform need can't be bound; without metrics the host serves on. */
  async listen (): Promise<void> {
    for (const server of this.servers) await server.listen()
    await this.metrics.listen().catch((error: unknown) => {
      this.options.logger.error('metrics-unavailable', { address: this.options.listen.metrics, error: String(error) })
    })
  }

  close (): void {
    for (const server of [...this.servers, this.metrics]) server.close()
  }

  private answerReadiness (req: IncomingMessage, res: ServerResponse): void {
    if (!this.options.dialect.isReadinessCheck(req)) {
      res.writeHead(404).end()
      return
    }
    res.writeHead(this.options.isReady() ? 200 : 503).end()
  }

  private answerLookup (req: IncomingMessage, res: ServerResponse): void {
    const { dialect, readMaxTtlMs, listServing } = this.options
    const lookup = dialect.readLookup(req)
    if (lookup === undefined) {
      res.writeHead(404).end()
      return
    }
    const addresses = listCallerAddresses(listServing(), lookup.region)
    if (addresses.length === 0) {
      res.writeHead(503).end()
      return
    }
    const body = dialect.formatLookup(addresses, Math.min(hostLimits.lookupTtlMs, readMaxTtlMs()))
    res.writeHead(200, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body) }).end(body)
  }

  private answerMetrics (res: ServerResponse): void {
    const { registry, logger } = this.options
    registry.metrics().then((text) => {
      res.writeHead(200, { 'Content-Type': registry.contentType, 'Content-Length': Buffer.byteLength(text) }).end(text)
    }, (error: unknown) => {
      logger.error('metrics-failed', { error: String(error) })
      res.writeHead(500).end()
    })
  }
}
