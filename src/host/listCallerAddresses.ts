import type { HostRecord } from '../peers/HostRecord.js'

/** Hosts that must remain when hosts with narrow links are left out. */
const minWideHosts = 3
/** Share of the widest link below which a link is narrow. */
const narrowShare = 0.4

/**
 * Addresses that a caller of a region should use: the serving hosts of its region, or all of them when its region has
 * none. Callers choose at random among them, so hosts whose links are narrow beside the others' are left out while enough
 * others serve; uploads and long answers would fill them.
 */
export function listCallerAddresses (serving: readonly HostRecord[], region: string): string[] {
  const inRegion = serving.filter((host) => host.region === region)
  const hosts = inRegion.length > 0 ? inRegion : serving
  const widest = Math.max(...hosts.map((host) => host.linkMbps))
  const wide = hosts.filter((host) => host.linkMbps >= widest * narrowShare)
  return (wide.length >= minWideHosts ? wide : hosts).map((host) => host.callerAddress)
}
