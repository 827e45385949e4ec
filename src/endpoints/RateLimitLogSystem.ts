import type { Logger } from '../common/Logger.js'
import { System } from '../common/System.js'
import { Table } from '../common/Table.js'
import type { EndpointRow } from './EndpointRow.js'
import type { EndpointTable } from './EndpointTable.js'

/** Shortest time in ms between two log lines about the limit of one endpoint; each response may name another one. */
const logIntervalMs = 1_000

/** What was logged last about an endpoint. */
interface LoggedLimit {
  perSecond: number | undefined
  nextLogAtMs: number
}

/** Logs the rate limits that endpoints name, change and withdraw. */
export class RateLimitLogSystem extends System {
  override readonly name = 'rate-limits'
  private readonly logged = new Table<LoggedLimit>()

  constructor (private readonly endpoints: EndpointTable, private readonly logger: Logger) {
    super()
  }

  override run (nowMs: number): void {
    for (const row of this.endpoints) if (row.announced.rateLimit !== undefined) this.logChange(row, nowMs)
    this.logged.deleteWhere((_limit, endpoint) => this.endpoints.get(endpoint) === undefined)
  }

  private logChange ({ record, announced: { rateLimit } }: EndpointRow, nowMs: number): void {
    const logged = this.logged.ensure(record.id, () => ({ perSecond: undefined, nextLogAtMs: nowMs }))
    const perSecond = rateLimit?.perSecond
    if (logged.perSecond === perSecond || nowMs < logged.nextLogAtMs) return
    if (perSecond === undefined) this.logger.info('endpoint-unlimited', { endpoint: record.id, service: record.service })
    else this.logger.info('endpoint-limited', { endpoint: record.id, service: record.service, perSecond })
    logged.perSecond = perSecond
    logged.nextLogAtMs = nowMs + logIntervalMs
  }
}
