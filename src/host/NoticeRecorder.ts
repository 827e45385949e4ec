import type { Clock } from '../common/Clock.js'
import { InputEdge } from '../common/InputEdge.js'
import type { Logger } from '../common/Logger.js'
import { endpointLimits } from '../endpoints/endpointLimits.js'
import type { EndpointNotice } from '../endpoints/EndpointNotice.js'
import type { EndpointRow } from '../endpoints/EndpointRow.js'
import type { EndpointTable } from '../endpoints/EndpointTable.js'
import { recordRateLimit } from '../endpoints/recordRateLimit.js'
import type { RejectedInput } from '../metrics/RejectedInput.js'

/** Dependencies of the recorder. */
interface NoticeRecorderOptions {
  readonly endpoints: EndpointTable
  readonly clock: Clock
  readonly logger: Logger
  readonly rejected: RejectedInput
}

/** Applies what endpoints say of themselves in responses. What can't be read changes nothing and is counted. */
export class NoticeRecorder {
  constructor (private readonly options: NoticeRecorderOptions) {}

  record (row: EndpointRow, notice: EndpointNotice): void {
    this.recordRateLimit(row, notice.rateLimit)
    this.recordLeaving(row, notice.leaving)
    this.recordBackoff(row, notice.backoffMs)
  }

  /** The endpoint is left out until a new incarnation registers, or a health check denies it after `leavingHoldMs`. */
  recordLeaving (row: EndpointRow, reading: EndpointNotice['leaving']): void {
    if (reading.kind === 'invalid') this.reject('response-leaving-invalid', row, reading.text)
    if (reading.kind !== 'value' || row.announced.leavingSinceMs !== undefined) return
    const { endpoints, clock, logger } = this.options
    const nowMs = clock.nowMs()
    row.nextProbeAtMs = nowMs + endpointLimits.leavingHoldMs
    endpoints.setLeaving(row, nowMs)
    logger.info('endpoint-leaving', { endpoint: row.record.id, service: row.record.service, draining: row.record.isDraining, source: 'response' })
  }

  /** Records that an endpoint passed a health check whose response doesn't say that it is leaving, which counts only after `leavingHoldMs`. */
  endLeaving (row: EndpointRow): void {
    const { endpoints, clock, logger } = this.options
    const { leavingSinceMs } = row.announced
    if (leavingSinceMs === undefined) return
    const leftOutMs = clock.nowMs() - leavingSinceMs
    if (leftOutMs < endpointLimits.leavingHoldMs) return
    endpoints.setLeaving(row, undefined)
    logger.info('endpoint-stays', { endpoint: row.record.id, leftOutMs: Math.round(leftOutMs) })
  }

  /** An invalid limit says neither that there is none nor what it is, so the one before stays in force. */
  private recordRateLimit (row: EndpointRow, reading: EndpointNotice['rateLimit']): void {
    if (reading.kind === 'invalid') return this.reject('response-limit-invalid', row, reading.text)
    const limit = { perSecond: reading.kind === 'value' ? reading.value : undefined, heardAtMs: this.options.clock.nowMs() }
    row.announced.ownRateLimit = limit
    recordRateLimit(row, limit)
  }

  /** The longest time asked for holds. One beyond the bound ends with a health check, so that no response shuts an endpoint out for good. */
  private recordBackoff (row: EndpointRow, reading: EndpointNotice['backoffMs']): void {
    if (reading.kind === 'invalid') this.reject('response-backoff-invalid', row, reading.text)
    if (reading.kind !== 'value') return
    const { maxBackoffMs } = endpointLimits
    const untilMs = this.options.clock.nowMs() + Math.min(reading.value, maxBackoffMs)
    const { announced } = row
    announced.ownBackoffUntilMs = Math.max(announced.ownBackoffUntilMs, untilMs)
    announced.backoffUntilMs = Math.max(announced.backoffUntilMs, untilMs)
    if (reading.value > maxBackoffMs) row.isSuspect = true
  }

  private reject (reason: string, row: EndpointRow, text: string): void {
    this.options.rejected.record(InputEdge.endpoint, reason, { endpoint: row.record.id, text })
  }
}
