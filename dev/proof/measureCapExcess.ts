import type { TruthReport } from '../upstream/TruthReport.js'
import type { CapPeriod } from './CapPeriod.js'

/** How far one customer went over its cap; all 0 when the promise held. */
interface CapExcess {
  readonly customer: string
  /** Requests over burst plus rate, over the worst span of time. */
  readonly requests: number
  /** Requests in progress over the concurrency cap. */
  readonly concurrency: number
  /** Requests in progress in one region over the region share. */
  readonly inRegion: number
}

/**
 * Time in ms by which requests that were admitted apart may reach the endpoints together: the delay to another
 * region and a wait for a slot.
 */
const gatherMs = 500

/** Compares what reached the endpoints with the caps in force, over every span of time of the run. */
export function measureCapExcess (truth: TruthReport, periods: readonly CapPeriod[]): CapExcess[] {
  const customers = [...new Set(periods.map(({ customer }) => customer))]
  return customers.map((customer) => measureCustomer(truth, customer, periods.filter((period) => period.customer === customer)))
}

function measureCustomer (truth: TruthReport, customer: string, periods: readonly CapPeriod[]): CapExcess {
  const sorted = [...periods].sort((a, b) => a.fromMs - b.fromMs)
  const { startMs, bucketMs } = truth
  const periodAt = (bucket: number): CapPeriod => sorted.findLast(({ fromMs }) => fromMs <= startMs + bucket * bucketMs) ?? sorted[0]!
  const over = (peaks: readonly number[] | undefined, limit: (period: CapPeriod) => number): number =>
    Math.max(0, ...(peaks ?? []).map((peak, bucket) => peak - limit(periodAt(bucket))))
  const regions = Object.keys(truth.customerRegionPeaks).filter((name) => name.startsWith(`${customer}/`))
  return {
    customer,
    requests: measureRequests(truth.arrivals[customer] ?? [], bucketMs, periodAt),
    concurrency: over(truth.customerPeaks[customer]?.peaks, ({ concurrency }) => concurrency),
    inRegion: Math.max(0, ...regions.map((name) =>
      over(truth.customerRegionPeaks[name]?.peaks, ({ concurrency, regionShare }) => Math.ceil(concurrency * regionShare))))
  }
}

/** Largest sum over a span of (arrivals - rate), less what burst and gathering allow. */
function measureRequests (arrivals: readonly number[], bucketMs: number, periodAt: (bucket: number) => CapPeriod): number {
  let spanSum = 0
  let worst = 0
  arrivals.forEach((count, bucket) => {
    const { rate, burst } = periodAt(bucket)
    spanSum = Math.max(0, spanSum + count - rate * bucketMs / 1_000)
    // The first bucket of a span may hold the arrivals of one instant.
    worst = Math.max(worst, spanSum - burst - rate * gatherMs / 1_000)
  })
  return Math.ceil(worst)
}
