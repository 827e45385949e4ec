import { Counter } from 'prom-client'
import type { Registry } from 'prom-client'

/** Metric, labels and bound of a counter. */
interface BoundedCounterOptions<Label extends string> {
  readonly name: string
  readonly help: string
  readonly registry: Registry
  /** Labels in the order in which `add` takes their values. */
  readonly labels: readonly Label[]
  /** Labels whose values are replaced by `other` above `maxLabelSets`; the remaining labels must have few values. */
  readonly overflowLabels: readonly Label[]
  readonly maxLabelSets: number
}

const otherValue = 'other'

/** A counter with a bounded number of label sets, so that callers can't exhaust the memory with new names. */
export class BoundedCounter<Label extends string> {
  private readonly counter: Counter<Label>
  private readonly labelSets = new Map<string, Counter.Internal>()

  constructor (private readonly options: BoundedCounterOptions<Label>) {
    const { name, help, registry, labels } = options
    this.counter = new Counter({ name, help, labelNames: [...labels], registers: [registry] })
  }

  /** Increments the counter by one; `values` are in the order of the labels. */
  add (...values: readonly string[]): void {
    const key = JSON.stringify(values)
    const existing = this.labelSets.get(key)
    if (existing !== undefined) return existing.inc()
    if (this.labelSets.size >= this.options.maxLabelSets) return this.counter.inc(this.createLabels(values, true))
    const created = this.counter.labels(this.createLabels(values, false))
    this.labelSets.set(key, created)
    created.inc()
  }

  private createLabels (values: readonly string[], isOverflow: boolean): Record<Label, string> {
    const { labels, overflowLabels } = this.options
    const entries = labels.map((label, index) => [label, isOverflow && overflowLabels.includes(label) ? otherValue : values[index] ?? ''])
    return Object.fromEntries(entries) as Record<Label, string>
  }
}
