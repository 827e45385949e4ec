import type { CatalogTable } from '../catalog/CatalogTable.js'
import type { Logger } from '../common/Logger.js'
import { System } from '../common/System.js'
import type { BehindTable } from './BehindTable.js'

/** Inputs of the log lines. */
interface BehindTableLogOptions {
  readonly listBehind: (nowMs: number) => readonly BehindTable[]
  readonly logger: Logger
}

/** Time in ms for which another host must be known to have a newer copy before it is logged. */
const logAfterMs = 500
/** Time in ms between two lines while a table stays behind. */
const logIntervalMs = 1_000

/** Logs tables of which other hosts have had a newer copy for some time, and how the fetches of them go. */
export class BehindTableLogSystem extends System {
  override readonly name = 'behind-tables'
  /** Time of the next line of each table that has been logged as behind. */
  private readonly nextLogAtMs = new Map<CatalogTable, number>()

  constructor (private readonly options: BehindTableLogOptions) {
    super()
  }

  override run (nowMs: number): void {
    const behind = this.options.listBehind(nowMs).filter(({ behindMs }) => behindMs >= logAfterMs)
    for (const each of behind) this.logBehind(each, nowMs)
    for (const table of this.nextLogAtMs.keys()) {
      if (behind.some((each) => each.table === table)) continue
      this.nextLogAtMs.delete(table)
      this.options.logger.info('table-caught-up', { table })
    }
  }

  private logBehind ({ table, behindMs, newest, held, sources, fetches, failures }: BehindTable, nowMs: number): void {
    if (nowMs < (this.nextLogAtMs.get(table) ?? -Infinity)) return
    this.nextLogAtMs.set(table, nowMs + logIntervalMs)
    this.options.logger.warn('table-behind', {
      table,
      behindMs: Math.round(behindMs),
      newest,
      held,
      sources,
      fetching: fetches.map(({ source, elapsedMs }) => `${source}:${Math.round(elapsedMs)}`).join(','),
      ...Object.fromEntries(failures)
    })
  }
}
