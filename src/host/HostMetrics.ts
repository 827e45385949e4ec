import { Counter, Gauge } from 'prom-client'
import type { Registry } from 'prom-client'
import type { RetryBudgetState } from '../budget/RetryBudgetState.js'
import { CatalogTable } from '../catalog/CatalogTable.js'
import type { Clock } from '../common/Clock.js'
import { resultCodes } from '../common/resultCodes.js'
import type { ResultName } from '../common/ResultName.js'
import { QuantileGauge } from '../metrics/QuantileGauge.js'
import type { HostGauges } from './HostGauges.js'

/** Metrics of a host process. */
export class HostMetrics {
  private readonly refusals: Counter
  private readonly retries: Counter
  private readonly deniedRetries: Counter
  private readonly completions: Counter
  private readonly replaced: Counter
  private readonly suppressed: Counter
  private readonly latency: QuantileGauge

  constructor (private readonly registry: Registry, clock: Clock) {
    const registers = [registry]
    this.refusals = new Counter({
      name: 'shunt_refused_total',
      help: 'Requests refused, by result code',
      labelNames: ['code', 'name', 'route'],
      registers
    })
    this.retries = new Counter({
      name: 'shunt_retried_total',
      help: 'Retries, by the result code of the failed attempt',
      labelNames: ['code', 'name', 'service'],
      registers
    })
    this.deniedRetries = new Counter({
      name: 'shunt_retries_denied_total',
      help: 'Retries that were not made because the retry budget was used up, by the result code of the failed attempt',
      labelNames: ['code', 'name', 'service'],
      registers
    })
    this.completions = new Counter({
      name: 'shunt_completed_total',
      help: 'Responses of endpoints that were forwarded',
      labelNames: ['service', 'status'],
      registers
    })
    this.replaced = new Counter({
      name: 'shunt_responses_replaced_total',
      help: 'Responses of endpoints to non-idempotent requests that were replaced, as their status would have told that the request did not run',
      labelNames: ['service', 'status'],
      registers
    })
    this.suppressed = new Counter({ name: 'shunt_log_lines_suppressed_total', help: 'Request log lines that the rate limit suppressed', registers })
    this.latency = new QuantileGauge({
      name: 'shunt_latency_ms',
      help: 'Time from a request\'s headers to its answer, last 1 to 2 minutes',
      registry,
      clock,
      label: 'service'
    })
  }

  registerGauges (gauges: HostGauges): void {
    this.addGauge('shunt_in_flight', 'Requests without a complete answer', gauges.countInFlight)
    this.addGauge('shunt_caller_connections', 'Open connections of callers', gauges.countConnections)
    this.addGauge('shunt_caller_connections_unread', 'Open connections of callers that are not read at the moment, so that their end would not be noticed', gauges.countUnreadConnections)
    this.addGauge('shunt_requests_abandoned', 'Requests since the start whose callers had left before they were handled, as the process was busy', gauges.countAbandoned)
    this.addGauge('shunt_peers_alive', 'Other hosts whose last heartbeat is recent', gauges.countPeers)
    this.addGauge('shunt_config_version', 'Version of the configuration in force', gauges.configVersion)
    this.addGauge('shunt_store_down', '1 while the store cannot be reached', () => gauges.isStoreDown() ? 1 : 0)
    this.addGauge('shunt_endpoints_limited', 'Endpoints that name a rate limit in their responses', gauges.countLimitedEndpoints)
    this.addGauge('shunt_endpoints_leaving', 'Endpoints that are left out because they say in their responses that they are leaving', gauges.countLeavingEndpoints)
    this.addGauge('shunt_endpoints_backing_off', 'Endpoints that are left out because they asked in a response for a time without requests', gauges.countBackingOffEndpoints)
    this.addGauge('shunt_store_era', 'Era of the store that the local copy of the orders belongs to; it rises when the store is restored', gauges.getStoreEra)
    this.addTableGauge('shunt_table_unconfirmed_ms', 'Time since the latest call to the store by any host that shows that the local copy of a table is complete', gauges.getTableAge)
    this.addTableGauge('shunt_table_behind_ms', 'Time since another host is known to have a newer copy of a table', gauges.getBehindMs)
    this.addTableGauge('shunt_table_retained_rows', 'Rows that hold although the store has lost them by a restore', gauges.countRetainedRows)
    this.addRetryBudgets(gauges.listRetryBudgets)
  }

  recordRefusal (name: ResultName, route: string): void {
    this.refusals.inc({ code: resultCodes[name].code, name, route })
  }

  recordRetry (name: ResultName, service: string): void {
    this.retries.inc({ code: resultCodes[name].code, name, service })
  }

  recordDeniedRetry (name: ResultName, service: string): void {
    this.deniedRetries.inc({ code: resultCodes[name].code, name, service })
  }

  recordCompletion (service: string, status: number, elapsedMs: number): void {
    this.completions.inc({ service, status })
    this.latency.record(service, elapsedMs)
  }

  recordReplacedResponse (service: string, status: number): void {
    this.replaced.inc({ service, status })
  }

  recordSuppressedLine (): void {
    this.suppressed.inc()
  }

  private addTableGauge (name: string, help: string, read: (table: CatalogTable) => number): void {
    const gauge: Gauge = new Gauge({
      name,
      help,
      labelNames: ['table'],
      registers: [this.registry],
      collect: () => { for (const table of Object.values(CatalogTable)) gauge.set({ table }, read(table)) }
    })
  }

  private addRetryBudgets (list: HostGauges['listRetryBudgets']): void {
    this.addServiceGauge('shunt_retry_budget_used', 'Retries of the last window, by service', list, ({ retries }) => retries)
    this.addServiceGauge('shunt_retry_budget_allowed', 'Retries that this host may make in a window, by service', list, ({ allowed }) => allowed)
  }

  private addServiceGauge (name: string, help: string, list: HostGauges['listRetryBudgets'], read: (state: RetryBudgetState) => number): void {
    const gauge: Gauge = new Gauge({
      name,
      help,
      labelNames: ['service'],
      registers: [this.registry],
      collect: () => { for (const state of list()) gauge.set({ service: state.service }, read(state)) }
    })
  }

  private addGauge (name: string, help: string, read: () => number): void {
    const gauge: Gauge = new Gauge({ name, help, registers: [this.registry], collect: () => gauge.set(read()) })
  }
}
