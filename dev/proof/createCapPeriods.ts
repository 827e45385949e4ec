import type { ExampleContract } from '../cluster/ExampleContract.js'
import type { CapPeriod } from './CapPeriod.js'

/** Returns the caps of contracts, in force from `fromMs` (wall time) on. */
export function createCapPeriods (contracts: readonly ExampleContract[], fromMs = 0): CapPeriod[] {
  return contracts.map(({ customer, rate, burst, concurrency, regionShare }) => ({ customer, fromMs, rate, burst, concurrency, regionShare }))
}
