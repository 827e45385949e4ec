import type { Portion } from './Portion.js'

/** The limits of a contract or of a prior cap that are divided over hosts. */
interface Cap {
  readonly rate: number
  readonly burst: number
  readonly concurrency: number
  readonly uploadBytesPerSecond: number
  readonly regionShare: number
}

const rateStepsPerUnit = 1_000

/**
 * Divides a cap over `homes`, in the given order. Every portion is a whole number of steps, and the portions add up to
 * the cap rounded down. Only hosts with a burst of at least 1 get a rate, since a host without burst cannot admit requests.
 */
export function splitCap (cap: Cap, homes: readonly string[]): Map<string, Portion> {
  const count = homes.length
  const burst = Math.max(1, Math.floor(cap.burst))
  const rateHosts = Math.min(count, burst)
  const rateSteps = Math.floor(cap.rate * rateStepsPerUnit)
  const permits = Math.floor(cap.concurrency)
  const regionPermits = Math.floor(permits * Math.min(1, cap.regionShare) + 1e-9)
  return new Map(homes.map((host, index) => [host, {
    rate: splitEvenly(rateSteps, rateHosts, index) / rateStepsPerUnit,
    burst: splitEvenly(burst, count, index),
    permits: splitEvenly(permits, count, index),
    regionPermits: splitEvenly(regionPermits, count, index),
    upload: splitEvenly(Math.floor(cap.uploadBytesPerSecond), count, index)
  }]))
}

/** Returns the integer at `index` when `total` is split evenly into `count` integers; the first ones take the remainder. */
function splitEvenly (total: number, count: number, index: number): number {
  if (index >= count) return 0
  const base = Math.floor(total / count)
  return index < total - base * count ? base + 1 : base
}
