import type { Logger } from '../common/Logger.js'
import { System } from '../common/System.js'
import { Table } from '../common/Table.js'
import type { EndpointRow } from './EndpointRow.js'
import type { EndpointTable } from './EndpointTable.js'

/** Shortest time in ms between two log lines about one matter of one endpoint; each response may say something else. */
const logIntervalMs = 1_000

/** What was logged last about an endpoint, and when each matter may be logged again. */
interface LoggedState {
  perSecond: number | undefined
  nextLimitLogAtMs: number
  isBackingOff: boolean
  nextBackoffLogAtMs: number
}

/** Logs when endpoints name, change and withdraw rate limits, and when they ask for no requests for a time. */
export class AnnouncementLogSystem extends System {
  override readonly name = 'announcements'
  private readonly logged = new Table<LoggedState>()

  constructor (private readonly endpoints: EndpointTable, private readonly logger: Logger) {
    super()
  }

  override run (nowMs: number): void {
    for (const row of this.endpoints) {
      const { rateLimit, backoffUntilMs } = row.announced
      if (rateLimit === undefined && backoffUntilMs === -Infinity) continue
      const logged = this.logged.ensure(row.record.id, () => ({ perSecond: undefined, nextLimitLogAtMs: nowMs, isBackingOff: false, nextBackoffLogAtMs: nowMs }))
      this.logLimit(row, logged, nowMs)
      this.logBackoff(row, logged, nowMs)
    }
    this.logged.deleteWhere((_state, endpoint) => this.endpoints.get(endpoint) === undefined)
  }

  private logLimit ({ record, announced: { rateLimit } }: EndpointRow, logged: LoggedState, nowMs: number): void {
    const perSecond = rateLimit?.perSecond
    if (logged.perSecond === perSecond || nowMs < logged.nextLimitLogAtMs) return
    if (perSecond === undefined) this.logger.info('endpoint-unlimited', { endpoint: record.id, service: record.service })
    else this.logger.info('endpoint-limited', { endpoint: record.id, service: record.service, perSecond })
    logged.perSecond = perSecond
    logged.nextLimitLogAtMs = nowMs + logIntervalMs
  }

  private logBackoff ({ record, announced: { backoffUntilMs, ownBackoffUntilMs } }: EndpointRow, logged: LoggedState, nowMs: number): void {
    const isBackingOff = backoffUntilMs > nowMs
    if (logged.isBackingOff === isBackingOff || nowMs < logged.nextBackoffLogAtMs) return
    if (isBackingOff) this.logger.info('endpoint-backing-off', { endpoint: record.id, service: record.service, forMs: Math.round(backoffUntilMs - nowMs), source: ownBackoffUntilMs > nowMs ? 'response' : 'peer' })
    else this.logger.info('endpoint-backoff-ended', { endpoint: record.id, service: record.service })
    logged.isBackingOff = isBackingOff
    logged.nextBackoffLogAtMs = nowMs + logIntervalMs
  }
}
