import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Registry } from 'prom-client'
import type { Logger } from '../common/Logger.js'
import type { HostRecord } from '../peers/HostRecord.js'
import type { HttpBinding } from './HttpBinding.js'
import { hostLimits } from './hostLimits.js'
import type { HostSettings } from './HostSettings.js'
import { listCallerAddresses } from './listCallerAddresses.js'
import { AuxiliaryServer } from './AuxiliaryServer.js'

/** Dependencies of the auxiliary ports. */
interface AuxiliaryPortsOptions {
  readonly listen: HostSettings['listen']
  /** Returns the longest permitted TTL in ms of a lookup response. */
  readonly readMaxTtlMs: () => number
  readonly httpBinding: HttpBinding
  readonly registry: Registry
  readonly logger: Logger
  readonly isReady: () => boolean
  /** Lists the hosts that can serve callers now. */
  readonly listServing: () => readonly HostRecord[]
}

/** Serves readiness checks, host lookups and metrics, each on its own port. */
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

  /** Rejects when the readiness or directory address can't be bound. A metrics address that can't be bound is only logged. */
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
    if (!this.options.httpBinding.isReadinessCheck(req)) {
      res.writeHead(404).end()
      return
    }
    res.writeHead(this.options.isReady() ? 200 : 503).end()
  }

  private answerLookup (req: IncomingMessage, res: ServerResponse): void {
    const { httpBinding, readMaxTtlMs, listServing } = this.options
    const lookup = httpBinding.readLookup(req)
    if (lookup === undefined) {
      res.writeHead(404).end()
      return
    }
    const addresses = listCallerAddresses(listServing(), lookup.region)
    if (addresses.length === 0) {
      res.writeHead(503).end()
      return
    }
    const body = httpBinding.formatLookup(addresses, Math.min(hostLimits.lookupTtlMs, readMaxTtlMs()))
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
