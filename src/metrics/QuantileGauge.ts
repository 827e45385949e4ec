import { Gauge } from 'prom-client'
import type { Registry } from 'prom-client'
import type { Clock } from '../common/Clock.js'
import { Table } from '../common/Table.js'
import { RollingHistogram } from './RollingHistogram.js'

/** Metric, label and scale of a quantile gauge. */
interface QuantileGaugeOptions {
  readonly name: string
  readonly help: string
  readonly registry: Registry
  readonly clock: Clock
  /** Label in addition to `quantile`, such as `service`. */
  readonly label: string
  /** Factor from exported to recorded values, for values below 1; default 1. */
  readonly scale?: number
}

const quantiles = [0.5, 0.9, 0.99, 0.999, 1] as const

/** Maximum number of label values with their own histogram (about 10 KB each); further values are recorded under `other`. */
const maxLabelValues = 200

/** Exports quantiles of recent values as one gauge per label value and quantile. */
export class QuantileGauge {
  private readonly rows = new Table<RollingHistogram>()

  constructor (private readonly options: QuantileGaugeOptions) {
    const { rows } = this
    const { name, help, registry, label, scale = 1 } = options
    // The registry holds a reference to the gauge, and prom-client calls `collect` on each scrape.
    const gauge: Gauge = new Gauge({
      name,
      help,
      labelNames: [label, 'quantile'],
      registers: [registry],
      collect: () => {
        for (const [id, histogram] of rows.entries()) {
          for (const quantile of quantiles) gauge.set({ [label]: id, quantile: String(quantile) }, histogram.quantile(quantile) / scale)
        }
      }
    })
  }

  record (labelValue: string, value: number): void {
    const id = this.rows.has(labelValue) || this.rows.size < maxLabelValues ? labelValue : 'other'
    this.rows.ensure(id, () => new RollingHistogram(this.options.clock)).record(value * (this.options.scale ?? 1))
  }
}
