import type { HostRecord } from '../peers/HostRecord.js'

/**
 * Addresses that a caller of a region should use: the serving hosts of its region, or all of them when its region has
 * none. Order has no meaning, callers choose at random.
 */
export function listCallerAddresses (serving: readonly HostRecord[], region: string): string[] {
  const near = serving.filter((host) => host.region === region)
  return (near.length > 0 ? near : serving).map((host) => host.callerAddress)
}
