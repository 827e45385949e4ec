import { request } from 'node:http'
import type { ClientRequest, IncomingMessage } from 'node:http'
import { createConnectTimeoutError } from '../entry/createConnectTimeoutError.js'
import { limitInterimResponses } from '../entry/limitInterimResponses.js'
import type { DialMap } from '../common/DialMap.js'
import { endpointLimits } from '../endpoints/endpointLimits.js'
import type { EndpointRow } from '../endpoints/EndpointRow.js'
import type { EndpointTable } from '../endpoints/EndpointTable.js'
import type { Clock } from '../common/Clock.js'
import { formatException } from '../common/formatException.js'
import { guardCallback } from '../common/guardCallback.js'
import type { Logger } from '../common/Logger.js'
import { System } from '../common/System.js'
import type { RoutingTable } from '../routing/RoutingTable.js'
import type { HttpBinding } from './HttpBinding.js'
import type { NoticeRecorder } from './NoticeRecorder.js'

/** Dependencies of the health checks. */
interface HealthCheckerOptions {
  readonly endpoints: EndpointTable
  readonly dial: DialMap
  readonly routing: RoutingTable
  readonly httpBinding: HttpBinding
  readonly notices: NoticeRecorder
  readonly clock: Clock
  readonly logger: Logger
}

const okStatus = 200

/**
 * Probes suspect endpoints until they answer under their own id, and those that have said for long that they are leaving although
 * the registry lists them as ready. Healthy endpoints need no probes: their answers show that they are up. An endpoint that wants nothing for
 * a time gets no probes either.
 */
export class HealthChecker extends System {
  override readonly name = 'health'
  /** Ids of endpoints that have been logged as suspect or ejected. */
  private readonly loggedEndpoints = new Set<string>()

  constructor (private readonly options: HealthCheckerOptions) {
    super()
  }

  override run (nowMs: number): void {
    for (const row of this.options.endpoints) {
      this.logAvoided(row, nowMs)
      if (needsProbe(row) && !row.isProbing && nowMs >= Math.max(row.nextProbeAtMs, row.announced.backoffUntilMs)) this.startProbe(row)
    }
  }

  private logAvoided (row: EndpointRow, nowMs: number): void {
    const { id } = row.record
    const isAvoided = row.isSuspect || row.ejectedUntilMs > nowMs
    if (!isAvoided) {
      this.loggedEndpoints.delete(id)
      return
    }
    if (this.loggedEndpoints.has(id)) return
    this.loggedEndpoints.add(id)
    this.options.logger.info('endpoint-avoided', {
      endpoint: id,
      suspect: row.isSuspect,
      failures: row.failures,
      failureShare: Math.round(row.failureShare * 100) / 100
    })
  }

  /** An exception ends only this probe; the endpoint stays suspect. */
  private startProbe (row: EndpointRow): void {
    row.isProbing = true
    guardCallback(() => this.probe(row), (error) => {
      this.endProbe(row)
      this.options.logger.error('probe-failed', { endpoint: row.record.id, error: formatException(error) })
    })()
  }

  private endProbe (row: EndpointRow): void {
    row.isProbing = false
    const isLeaving = row.announced.leavingSinceMs !== undefined
    row.nextProbeAtMs = this.options.clock.nowMs() + (isLeaving ? endpointLimits.leavingCheckMs : endpointLimits.probeIntervalMs)
  }

  private probe (row: EndpointRow): void {
    const { routing, dial } = this.options
    const { host, port } = dial.resolve(row.record.address)
    const path = routing.findService(row.record.service)?.healthPath ?? '/'
    const req = request({ host, port, path, agent: false })
    const timer = setTimeout(() => req.destroy(createConnectTimeoutError()), endpointLimits.probeTimeoutMs)
    limitInterimResponses(req, () => req.destroy())
    // The endpoint stays suspect, which has been logged already, and is probed again after the interval.
    req.on('error', () => {})
    req.on('close', () => {
      clearTimeout(timer)
      this.endProbe(row)
    })
    req.on('response', (res) => this.receive(row, req, res))
    req.end()
  }

  /** Takes a response that is complete for health; an endpoint in trouble may send bytes without end. */
  private receive (row: EndpointRow, req: ClientRequest, res: IncomingMessage): void {
    let bodyBytes = 0
    res.on('data', (chunk: Buffer) => {
      bodyBytes += chunk.length
      if (bodyBytes > endpointLimits.maxProbeBodyBytes) req.destroy()
    })
    // The request reports the failure as well.
    res.on('error', () => {})
    res.on('end', () => {
      const health = this.options.httpBinding.readHealth(res.rawHeaders)
      if (health.endpoint !== row.record.id) return
      this.options.notices.recordLeaving(row, health.leaving)
      if (res.statusCode === okStatus && health.leaving.kind !== 'value') this.markHealthy(row, health.coldMs)
    })
  }

  private markHealthy (row: EndpointRow, coldMs: number): void {
    const nowMs = this.options.clock.nowMs()
    row.isSuspect = false
    row.failures = 0
    row.coldUntilMs = Math.max(row.coldUntilMs, nowMs + coldMs)
    this.options.notices.endLeaving(row)
    this.options.logger.info('endpoint-up', { endpoint: row.record.id, coldMs })
  }
}

function needsProbe ({ isSuspect, record, announced }: EndpointRow): boolean {
  return !record.isDraining && (isSuspect || announced.leavingSinceMs !== undefined)
}
