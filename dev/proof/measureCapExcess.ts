import type { TruthReport } from '../upstream/TruthReport.js'
import type { CapPeriod } from './CapPeriod.js'

/** Excess of one customer over its cap; all 0 when the promise held. */
interface CapExcess {
  readonly customer: string
  /** Requests above burst plus rate, in the time span with the largest excess. */
  readonly requests: number
  /** Requests in progress above the concurrency cap. */
  readonly concurrency: number
  /** Requests in progress in one region above the region share. */
  readonly inRegion: number
}

/**
 * Requests that were admitted up to this many ms apart may reach the endpoints at the same time, because of the delay
 * to another region and the wait for a slot.
 */
const arrivalSkewMs = 500

/** Compares the requests that reached the endpoints with the caps in force, over every time span of the run. */
export function measureCapExcess (truth: TruthReport, periods: readonly CapPeriod[]): CapExcess[] {
  const customers = [...new Set(periods.map(({ customer }) => customer))]
  return customers.map((customer) => measureCustomer(truth, customer, periods.filter((period) => period.customer === customer)))
}

function measureCustomer (truth: TruthReport, customer: string, periods: readonly CapPeriod[]): CapExcess {
  const sorted = [...periods].sort((a, b) => a.fromMs - b.fromMs)
  const { startMs, bucketMs } = truth
  const periodAt = (bucket: number): CapPeriod => sorted.findLast(({ fromMs }) => fromMs <= startMs + bucket * bucketMs) ?? sorted[0]!
  const findExcess = (peaks: readonly number[] | undefined, limit: (period: CapPeriod) => number): number =>
    Math.max(0, ...(peaks ?? []).map((peak, bucket) => peak - limit(periodAt(bucket))))
  const regions = Object.keys(truth.customerRegionPeaks).filter((name) => name.startsWith(`${customer}/`))
  return {
    customer,
    requests: measureRequests(truth.arrivals[customer] ?? [], bucketMs, periodAt),
    concurrency: findExcess(truth.customerPeaks[customer]?.peaks, ({ concurrency }) => concurrency),
    inRegion: Math.max(0, ...regions.map((name) =>
      findExcess(truth.customerRegionPeaks[name]?.peaks, ({ concurrency, regionShare }) => Math.ceil(concurrency * regionShare))))
  }
}

/** Returns the largest sum of (arrivals - rate) over a time span, less the allowance for the burst and the arrival skew. */
function measureRequests (arrivals: readonly number[], bucketMs: number, periodAt: (bucket: number) => CapPeriod): number {
  let spanSum = 0
  let worst = 0
  arrivals.forEach((count, bucket) => {
    const { rate, burst } = periodAt(bucket)
    spanSum = Math.max(0, spanSum + count - rate * bucketMs / 1_000)
    // The first bucket of a span may hold the arrivals of one instant.
    worst = Math.max(worst, spanSum - burst - rate * arrivalSkewMs / 1_000)
  })
  return Math.ceil(worst)
}
