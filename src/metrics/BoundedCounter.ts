import { Counter } from 'prom-client'
import type { Registry } from 'prom-client'

/** What a bounded counter counts and how many label sets it may hold. */
interface BoundedCounterOptions<Label extends string> {
  readonly name: string
  readonly help: string
  readonly registry: Registry
  /** Labels in the order in which `add` takes their values. */
  readonly labels: readonly Label[]
  /** Labels whose values become `other` when there are too many label sets; the others must have few values. */
  readonly foldable: readonly Label[]
  readonly maxSets: number
}

const otherValue = 'other'

/** A counter with a bounded number of label sets, so that callers can't fill the memory with new names. */
export class BoundedCounter<Label extends string> {
  private readonly counter: Counter<Label>
  private readonly sets = new Map<string, Counter.Internal>()

  constructor (private readonly options: BoundedCounterOptions<Label>) {
    const { name, help, registry, labels } = options
    this.counter = new Counter({ name, help, labelNames: [...labels], registers: [registry] })
  }

  /** Adds one; `values` are in the order of the labels. */
  add (...values: readonly string[]): void {
    const key = JSON.stringify(values)
    const known = this.sets.get(key)
    if (known !== undefined) return known.inc()
    if (this.sets.size >= this.options.maxSets) return this.counter.inc(this.createLabels(values, true))
    const created = this.counter.labels(this.createLabels(values, false))
    this.sets.set(key, created)
    created.inc()
  }

  private createLabels (values: readonly string[], fold: boolean): Record<Label, string> {
    const { labels, foldable } = this.options
    const entries = labels.map((label, index) => [label, fold && foldable.includes(label) ? otherValue : values[index] ?? ''])
    return Object.fromEntries(entries) as Record<Label, string>
  }
}
