import type { Logger } from '../common/Logger.js'
import { System } from '../common/System.js'
import { applyBackoffReport } from '../endpoints/applyBackoffReport.js'
import { applyBreakReports } from '../endpoints/applyBreakReports.js'
import { rateLimitCodec } from '../endpoints/rateLimitCodec.js'
import { recordRateLimit } from '../endpoints/recordRateLimit.js'
import type { EndpointTable } from '../endpoints/EndpointTable.js'
import type { PeerTable } from '../peers/PeerTable.js'
import type { EndpointSelector } from '../placing/EndpointSelector.js'
import type { ClusterState } from './ClusterState.js'

/** Tables that are maintained. */
interface MaintenanceOptions {
  readonly state: ClusterState
  readonly endpoints: EndpointTable
  readonly endpointSelector: EndpointSelector
  readonly peers: PeerTable
  readonly logger: Logger
}

/** Removes lapsed endpoints and applies the loads and failures that other hosts report. */
export class MaintenanceSystem extends System {
  override readonly name = 'upkeep'

  constructor (private readonly options: MaintenanceOptions) {
    super()
  }

  override run (nowMs: number): void {
    const { state, endpoints, endpointSelector } = this.options
    state.releaseRetained(nowMs)
    state.expireMissingEndpoints(nowMs)
    endpointSelector.retain((endpoint) => endpoints.get(endpoint) !== undefined)
    this.applyLoads(nowMs)
    this.applyBreaks(nowMs)
    this.applyRateLimits(nowMs)
    this.applyBackoffs(nowMs)
  }

  private applyLoads (nowMs: number): void {
    const { endpoints, peers } = this.options
    const sums = peers.sumLoads(nowMs)
    for (const row of endpoints) row.peerInFlight = sums.get(row.record.id) ?? 0
  }

  private applyRateLimits (nowMs: number): void {
    const { endpoints, peers } = this.options
    for (const { rateLimits, lastHeartbeatAtMs } of peers.listAlive(nowMs)) {
      for (const report of rateLimits) {
        const row = endpoints.get(report[0])
        if (row !== undefined) recordRateLimit(row, rateLimitCodec.decode(report, lastHeartbeatAtMs!))
      }
    }
  }

  private applyBackoffs (nowMs: number): void {
    const { endpoints, peers } = this.options
    for (const { backoffs, lastHeartbeatAtMs, heartbeatIntervalMs } of peers.listAlive(nowMs)) {
      for (const [endpoint, bornAtMs, leftMs] of backoffs) {
        const row = endpoints.get(endpoint)
        if (row !== undefined) applyBackoffReport(row, { bornAtMs, leftMs, receivedAtMs: lastHeartbeatAtMs!, heartbeatIntervalMs })
      }
    }
  }

  private applyBreaks (nowMs: number): void {
    const { endpoints, peers, logger } = this.options
    for (const [endpoint, reports] of peers.sumBreaks(nowMs)) {
      const row = endpoints.get(endpoint)
      if (row !== undefined && applyBreakReports(row, reports, nowMs)) logger.info('endpoint-reported', { endpoint, ...reports, ownBreaks: row.breaks })
    }
  }
}
