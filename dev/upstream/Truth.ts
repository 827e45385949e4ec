import type { TruthReport } from './TruthReport.js'

/** A request that reached an endpoint. */
interface Arrival {
  readonly customer: string
  readonly requestId: string
  readonly key: string | undefined
  readonly endpoint: string
  readonly service: string
  readonly region: string
  readonly idempotent: boolean
}

/** Number of requests in progress, with its overall peak and its peak per time bucket. */
interface Gauge {
  current: number
  peak: number
  readonly peaks: number[]
}

/** Number of runs of a request id or key. */
interface RunRecord {
  runs: number
  readonly idempotent: boolean
}

const bucketMs = 100

/** Ground truth of the requests at the endpoints, for checks that don't rely on the system's own metrics. */
export class Truth {
  readonly startMs = Date.now()
  private readonly runsByKey = new Map<string, RunRecord>()
  private readonly runsByRequest = new Map<string, RunRecord>()
  private readonly seenRequests = new Set<string>()
  private readonly arrivals = new Map<string, number[]>()
  private readonly customers = new Map<string, Gauge>()
  private readonly customerRegions = new Map<string, Gauge>()
  private readonly endpoints = new Map<string, Gauge>()
  private readonly regionServices = new Map<string, Gauge>()
  private readonly totals = { requests: 0, repeats: 0, shed: 0, runs: 0, cancelled: 0, deadlines: 0, probes: 0, connections: 0, regionOverload: 0 }

  /** `regionSlots` holds the number of slots per `region/service`. */
  constructor (private readonly regionSlots: ReadonlyMap<string, number>) {}

  recordArrival (arrival: Arrival): void {
    const { customer, requestId, region, service, endpoint } = arrival
    this.totals.requests += 1
    if (this.seenRequests.has(requestId)) this.totals.repeats += 1
    else this.countArrival(customer)
    this.seenRequests.add(requestId)
    const regionService = `${region}/${service}`
    this.incrementGauge(this.customers, customer)
    this.incrementGauge(this.customerRegions, `${customer}/${region}`)
    this.incrementGauge(this.endpoints, endpoint)
    const inRegion = this.incrementGauge(this.regionServices, regionService)
    if (inRegion > (this.regionSlots.get(regionService) ?? 0)) this.totals.regionOverload += 1
  }

  recordEnd ({ customer, region, service, endpoint }: Arrival): void {
    this.decrementGauge(this.customers, customer)
    this.decrementGauge(this.customerRegions, `${customer}/${region}`)
    this.decrementGauge(this.endpoints, endpoint)
    this.decrementGauge(this.regionServices, `${region}/${service}`)
  }

  recordRun ({ key, requestId, idempotent, customer }: Arrival): void {
    this.totals.runs += 1
    countRun(this.runsByRequest, requestId, idempotent)
    if (key !== undefined) countRun(this.runsByKey, `${customer} ${key}`, idempotent)
  }

  /** Counts a shed request, and counts it as region overload when the region has as many requests in progress as slots. */
  recordShed ({ region, service }: Pick<Arrival, 'region' | 'service'>): void {
    const regionService = `${region}/${service}`
    this.totals.shed += 1
    const inRegion = this.regionServices.get(regionService)?.current ?? 0
    if (inRegion >= (this.regionSlots.get(regionService) ?? 0)) this.totals.regionOverload += 1
  }

  incrementTotal (name: 'cancelled' | 'deadlines' | 'probes' | 'connections'): void {
    this.totals[name] += 1
  }

  /** Returns the number of runs per key (`<customer> <key>`) and per request id. */
  countRuns (keys: readonly string[], requestIds: readonly string[]): { keys: number[], requestIds: number[] } {
    return {
      keys: keys.map((key) => this.runsByKey.get(key)?.runs ?? 0),
      requestIds: requestIds.map((id) => this.runsByRequest.get(id)?.runs ?? 0)
    }
  }

  report (): Omit<TruthReport, 'endpoints'> {
    return {
      startMs: this.startMs,
      bucketMs,
      totals: { ...this.totals },
      duplicateKeys: listDuplicates(this.runsByKey),
      duplicateRequests: listDuplicates(this.runsByRequest),
      arrivals: Object.fromEntries([...this.arrivals].map(([name, counts]) => [name, fillGaps(counts)])),
      customerPeaks: describePeaks(this.customers),
      customerRegionPeaks: describePeaks(this.customerRegions),
      endpointPeaks: Object.fromEntries([...this.endpoints].map(([name, gauge]) => [name, gauge.peak])),
      regionServicePeaks: describePeaks(this.regionServices)
    }
  }

  private currentBucket (): number {
    return Math.floor((Date.now() - this.startMs) / bucketMs)
  }

  private countArrival (customer: string): void {
    const counts = this.arrivals.get(customer) ?? []
    this.arrivals.set(customer, counts)
    const index = this.currentBucket()
    counts[index] = (counts[index] ?? 0) + 1
  }

  private incrementGauge (gauges: Map<string, Gauge>, name: string): number {
    const gauge = gauges.get(name) ?? { current: 0, peak: 0, peaks: [] }
    gauges.set(name, gauge)
    gauge.current += 1
    gauge.peak = Math.max(gauge.peak, gauge.current)
    const index = this.currentBucket()
    gauge.peaks[index] = Math.max(gauge.peaks[index] ?? 0, gauge.current)
    return gauge.current
  }

  private decrementGauge (gauges: Map<string, Gauge>, name: string): void {
    const gauge = gauges.get(name)
    if (gauge === undefined) return
    // Without an arrival in this bucket, its peak is the number in progress just before this request ended.
    const index = this.currentBucket()
    gauge.peaks[index] = Math.max(gauge.peaks[index] ?? 0, gauge.current)
    gauge.current -= 1
  }
}

function countRun (records: Map<string, RunRecord>, id: string, idempotent: boolean): void {
  const record = records.get(id) ?? { runs: 0, idempotent }
  records.set(id, record)
  record.runs += 1
}

function listDuplicates (records: Map<string, RunRecord>): { id: string, runs: number }[] {
  return [...records].filter(([, { runs, idempotent }]) => runs > 1 && !idempotent).map(([id, { runs }]) => ({ id, runs }))
}

function describePeaks (gauges: Map<string, Gauge>): Record<string, { peak: number, peaks: number[] }> {
  return Object.fromEntries([...gauges].map(([name, { peak, peaks }]) => [name, { peak, peaks: fillGaps(peaks) }]))
}

function fillGaps (counts: readonly number[]): number[] {
  return Array.from(counts, (count) => count ?? 0)
}
