import type { Logger } from '../common/Logger.js'
import { System } from '../common/System.js'
import { Table } from '../common/Table.js'
import type { RetryShares } from './RetryShares.js'
import type { ServiceRetryBudget } from './ServiceRetryBudget.js'

/** Shortest time in ms between two log lines about the budget of one service. */
const logIntervalMs = 1_000

/** What was logged last about a service. */
interface LoggedRow {
  denied: number
  nextLogAtMs: number
}

/** Dependencies of the log lines. */
interface RetryBudgetLogOptions {
  readonly retries: ServiceRetryBudget
  /** Returns the shares of the bounds that this host may use now. */
  readonly getShares: (nowMs: number) => RetryShares
  readonly logger: Logger
}

/** Logs with its inputs that the retry budget of a service is used up. */
export class RetryBudgetLogSystem extends System {
  override readonly name = 'retry-budget'
  private readonly logged = new Table<LoggedRow>()
  private startMs: number | undefined

  constructor (private readonly options: RetryBudgetLogOptions) {
    super()
  }

  override run (nowMs: number): void {
    this.startMs ??= nowMs
    const { ofRatio, ofSlack } = this.options.getShares(nowMs)
    for (const { service, requests, retries, allowed, denied } of this.options.retries.list(nowMs)) {
      const row = this.logged.ensure(service, () => ({ denied: 0, nextLogAtMs: nowMs }))
      if (denied === row.denied || nowMs < row.nextLogAtMs) continue
      this.options.logger.info('retries-denied', {
        service,
        denied: denied - row.denied,
        requests,
        retries,
        allowed: Math.floor(allowed),
        ratioShare: ofRatio,
        slackShare: Math.round(ofSlack * 1_000) / 1_000,
        upMs: Math.round(nowMs - this.startMs)
      })
      row.denied = denied
      row.nextLogAtMs = nowMs + logIntervalMs
    }
  }
}
