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

/** Counter of something in progress, with its peak per bucket of time. */
interface Gauge {
  now: number
  peak: number
  readonly peaks: number[]
}

/** Runs of one request or key. */
interface RunRecord {
  runs: number
  readonly idempotent: boolean
}

const bucketMs = 100

/** What really happened at the endpoints, for proofs that do not trust the system's own figures. */
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

  /** `regionSlots` holds the slots per `region/service`. */
  constructor (private readonly regionSlots: ReadonlyMap<string, number>) {}

  arrive (arrival: Arrival): void {
    const { customer, requestId, region, service, endpoint } = arrival
    this.totals.requests += 1
    if (this.seenRequests.has(requestId)) this.totals.repeats += 1
    else this.countArrival(customer)
    this.seenRequests.add(requestId)
    const place = `${region}/${service}`
    this.raise(this.customers, customer)
    this.raise(this.customerRegions, `${customer}/${region}`)
    this.raise(this.endpoints, endpoint)
    const inRegion = this.raise(this.regionServices, place)
    if (inRegion > (this.regionSlots.get(place) ?? 0)) this.totals.regionOverload += 1
  }

  leave ({ customer, region, service, endpoint }: Arrival): void {
    this.lower(this.customers, customer)
    this.lower(this.customerRegions, `${customer}/${region}`)
    this.lower(this.endpoints, endpoint)
    this.lower(this.regionServices, `${region}/${service}`)
  }

  run ({ key, requestId, idempotent, customer }: Arrival): void {
    this.totals.runs += 1
    countRun(this.runsByRequest, requestId, idempotent)
    if (key !== undefined) countRun(this.runsByKey, `${customer} ${key}`, idempotent)
  }

  /** Counts a request that was turned away; it overloads the region when all slots there are taken. */
  shed ({ region, service }: Pick<Arrival, 'region' | 'service'>): void {
    const place = `${region}/${service}`
    this.totals.shed += 1
    const inRegion = this.regionServices.get(place)?.now ?? 0
    if (inRegion >= (this.regionSlots.get(place) ?? 0)) this.totals.regionOverload += 1
  }

  count (name: 'cancelled' | 'deadlines' | 'probes' | 'connections'): void {
    this.totals[name] += 1
  }

  /** Runs per key (`<customer> <key>`) and per request id. */
  runsOf (keys: readonly string[], requestIds: readonly string[]): { keys: number[], requestIds: number[] } {
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

  private bucket (): number {
    return Math.floor((Date.now() - this.startMs) / bucketMs)
  }

  private countArrival (customer: string): void {
    const counts = this.arrivals.get(customer) ?? []
    this.arrivals.set(customer, counts)
    const at = this.bucket()
    counts[at] = (counts[at] ?? 0) + 1
  }

  private raise (gauges: Map<string, Gauge>, name: string): number {
    const gauge = gauges.get(name) ?? { now: 0, peak: 0, peaks: [] }
    gauges.set(name, gauge)
    gauge.now += 1
    gauge.peak = Math.max(gauge.peak, gauge.now)
    const at = this.bucket()
    gauge.peaks[at] = Math.max(gauge.peaks[at] ?? 0, gauge.now)
    return gauge.now
  }

  private lower (gauges: Map<string, Gauge>, name: string): void {
    const gauge = gauges.get(name)
    if (gauge === undefined) return
    // A bucket without arrivals still had this much in progress when the request left.
    const at = this.bucket()
    gauge.peaks[at] = Math.max(gauge.peaks[at] ?? 0, gauge.now)
    gauge.now -= 1
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
