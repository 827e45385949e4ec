import { Counter } from 'prom-client'
import type { Registry } from 'prom-client'
import type { CatalogTable } from '../catalog/CatalogTable.js'
import type { Clock } from '../common/Clock.js'
import type { ResultName } from '../common/ResultName.js'
import { QuantileGauge } from '../metrics/QuantileGauge.js'
import type { FetchFailure } from './FetchFailure.js'
import type { PeerMessage } from './PeerMessage.js'
import type { PeerTrafficSums } from './PeerTrafficSums.js'

/** Whether a page held a whole table or only changes. */
type PageForm = 'whole' | 'changes'

/** Counts what this host sends to other hosts, how long exchanges with them take, and why they fail. */
export class PeerTraffic {
  private readonly sentBytes: Counter
  private readonly sentRows: Counter
  private readonly failures: Counter
  private readonly fetches: Counter
  private readonly durations: QuantileGauge
  private sums: PeerTrafficSums = createSums()

  constructor (registry: Registry, clock: Clock) {
    const registers = [registry]
    this.sentBytes = new Counter({ name: 'shunt_peer_sent_bytes_total', help: 'Bytes sent to other hosts, by type of message', labelNames: ['type'], registers })
    this.sentRows = new Counter({ name: 'shunt_peer_sent_rows_total', help: 'Table rows sent to other hosts, as part of a whole table or of its changes', labelNames: ['table', 'form'], registers })
    this.failures = new Counter({ name: 'shunt_peer_exchanges_failed_total', help: 'Exchanges with other hosts that failed, by result code', labelNames: ['type', 'name'], registers })
    this.fetches = new Counter({ name: 'shunt_table_fetches_total', help: 'Fetches of tables from other hosts, by outcome', labelNames: ['table', 'outcome'], registers })
    this.durations = new QuantileGauge({ name: 'shunt_peer_exchange_ms', help: 'Time from a request to another host to its reply, last 1 to 2 minutes', registry, clock, label: 'type' })
  }

  recordSent (type: string, bytes: number): void {
    this.sentBytes.inc({ type }, bytes)
    this.sums.sentBytes += bytes
  }

  recordPage (table: CatalogTable, form: PageForm, rows: number): void {
    this.sentRows.inc({ table, form }, rows)
    if (form === 'whole') this.sums.wholeTables += 1
    this.sums.sentRows += rows
  }

  recordReply (type: PeerMessage, elapsedMs: number): void {
    this.durations.record(type, elapsedMs)
    this.sums.replies += 1
    this.sums.longestMs = Math.max(this.sums.longestMs, elapsedMs)
  }

  recordFailure (type: PeerMessage, name: ResultName): void {
    this.failures.inc({ type, name })
    this.sums.failures.set(name, (this.sums.failures.get(name) ?? 0) + 1)
  }

  recordFetch (table: CatalogTable, outcome: FetchFailure['kind'] | 'complete'): void {
    this.fetches.inc({ table, outcome })
  }

  /** Returns the sums since the last call and begins anew. */
  takeSums (): PeerTrafficSums {
    const { sums } = this
    this.sums = createSums()
    return sums
  }
}

function createSums (): PeerTrafficSums {
  return { sentBytes: 0, sentRows: 0, wholeTables: 0, replies: 0, longestMs: 0, failures: new Map() }
}
