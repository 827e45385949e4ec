import { Counter, Gauge } from 'prom-client'
import type { Registry } from 'prom-client'
import type { Clock } from '../common/Clock.js'
import { resultCodes } from '../common/resultCodes.js'
import type { ResultName } from '../common/ResultName.js'
import { QuantileGauge } from '../metrics/QuantileGauge.js'

/** Functions that return the values of the gauges, called on each scrape. */
interface LookupGauges {
  readonly configVersion: () => number
  readonly viewAgeMs: () => number
  readonly blocks: () => number
}

/** Latencies are recorded in microseconds, because most are below one millisecond. */
const latencyScale = 1_000

/** Metrics of the lookup process. */
export class LookupMetrics {
  private readonly lookups: Counter
  private readonly refusals: Counter<'code' | 'name'>
  private readonly latency: QuantileGauge

  constructor (registry: Registry, clock: Clock) {
    this.lookups = new Counter({ name: 'shunt_lookups_total', help: 'Lookups answered', registers: [registry] })
    this.refusals = new Counter({ name: 'shunt_lookup_refused_total', help: 'Lookups refused, by result code', labelNames: ['code', 'name'], registers: [registry] })
    this.latency = new QuantileGauge({ name: 'shunt_lookup_ms', help: 'Time to answer a lookup, last 1 to 2 minutes', registry, clock, label: 'route', scale: latencyScale })
  }

  recordLookup (elapsedMs: number): void {
    this.lookups.inc()
    this.latency.record('lookup', elapsedMs)
  }

  recordRefusal (name: ResultName): void {
    this.refusals.inc({ code: String(resultCodes[name].code), name })
  }

  /** Registers gauges for the state of the lookup process. */
  registerGauges (registry: Registry, gauges: LookupGauges): void {
    addGauge(registry, 'shunt_config_version', 'Version of the configuration in use', gauges.configVersion)
    addGauge(registry, 'shunt_view_age_ms', 'Age of the last view from the agent', gauges.viewAgeMs)
    addGauge(registry, 'shunt_blocks', 'Blocks of client addresses in the table', gauges.blocks)
  }
}

function addGauge (registry: Registry, name: string, help: string, read: () => number): void {
  // The registry keeps the reference to the gauge.
  const gauge: Gauge = new Gauge({ name, help, registers: [registry], collect: () => gauge.set(read()) })
}
