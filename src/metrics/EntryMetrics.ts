import type { Registry } from 'prom-client'
import type { Clock } from '../common/Clock.js'
import { resultCodes } from '../common/resultCodes.js'
import type { ResultName } from '../common/ResultName.js'
import { BoundedCounter } from './BoundedCounter.js'
import { QuantileGauge } from './QuantileGauge.js'
import { RequestMetrics } from './RequestMetrics.js'

/** Maximum number of label sets per counter; enough for a thousand customers with two services each. */
const defaultMaxLabelSets = 2_000

/** Headroom is recorded in thousandths, since the histograms store integers. */
const headroomScale = 1_000

const reasonLabels = ['code', 'name', 'service', 'customer'] as const
const statusLabels = ['status', 'service', 'customer'] as const
const customerLabels = ['service', 'customer'] as const

/** Metrics of an entry process, exported through its registry. */
export class EntryMetrics extends RequestMetrics {
  private readonly refusals: BoundedCounter<typeof reasonLabels[number]>
  private readonly retries: BoundedCounter<typeof reasonLabels[number]>
  private readonly replacements: BoundedCounter<typeof statusLabels[number]>
  private readonly completions: BoundedCounter<typeof customerLabels[number]>
  private readonly hedges: BoundedCounter<typeof customerLabels[number]>
  private readonly latency: QuantileGauge
  private readonly headroom: QuantileGauge
  private readonly drainTime: QuantileGauge

  constructor (registry: Registry, clock: Clock, maxLabelSets: number = defaultMaxLabelSets) {
    super()
    const create = <Label extends string>(name: string, help: string, labels: readonly Label[]) => new BoundedCounter<Label>({
      name, help, registry, labels, maxLabelSets, overflowLabels: labels.filter((label) => label === 'service' || label === 'customer')
    })
    this.refusals = create('shunt_refused_total', 'Requests refused, by result code', reasonLabels)
    this.retries = create('shunt_retried_total', 'Retries, by the result code of the failed attempt', reasonLabels)
    this.replacements = create('shunt_responses_replaced_total', 'Responses of endpoints that were replaced, by the endpoint\'s status', statusLabels)
    this.completions = create('shunt_completed_total', 'Answers delivered completely', customerLabels)
    this.hedges = create('shunt_hedged_total', 'Second attempts started because the first was slow', customerLabels)
    this.latency = new QuantileGauge({ name: 'shunt_latency_ms', help: 'Time from a request\'s headers to its complete answer, last 1 to 2 minutes', registry, clock, label: 'service' })
    this.headroom = new QuantileGauge({ name: 'shunt_headroom_ratio', help: 'Free share of the usable slots when a slot was needed, last 1 to 2 minutes', registry, clock, label: 'service', scale: headroomScale })
    this.drainTime = new QuantileGauge({ name: 'shunt_drain_ms', help: 'Time from the start of a drain to the last request in flight, last 1 to 2 minutes', registry, clock, label: 'kind' })
  }

  override refused (name: ResultName, service: string, customer: string): void {
    this.refusals.add(String(resultCodes[name].code), name, service, customer)
  }

  override retried (name: ResultName, service: string, customer: string): void {
    this.retries.add(String(resultCodes[name].code), name, service, customer)
  }

  override replaced (status: number, service: string, customer: string): void {
    this.replacements.add(String(status), service, customer)
  }

  override completed (service: string, customer: string, elapsedMs: number): void {
    this.completions.add(service, customer)
    this.latency.record(service, elapsedMs)
  }

  override hedged (service: string, customer: string): void {
    this.hedges.add(service, customer)
  }

  /** Records the free share (0 to 1) of a service's usable slots. */
  measuredHeadroom (service: string, freeShare: number): void {
    this.headroom.record(service, freeShare)
  }

  /** Records how long a finished drain took; `kind` is `upstream`, `zone` or `host`. */
  drained (kind: string, elapsedMs: number): void {
    this.drainTime.record(kind, elapsedMs)
  }
}
