import type { HostRecord } from '../peers/HostRecord.js'

/** Number of hosts with wide links from which on hosts with narrow links are left out. */
const minWideHosts = 3
/** Share of the largest link bandwidth below which a link counts as narrow. */
const narrowShare = 0.4

/**
 * Lists the addresses that a caller of a region should use: the serving hosts of its region, or all serving hosts when its
 * region has none. Callers choose among them at random, and uploads and long answers would saturate a link that is much
 * narrower than the others, so hosts with such links are left out while enough others serve.
 */
export function listCallerAddresses (serving: readonly HostRecord[], region: string): string[] {
  const inRegion = serving.filter((host) => host.region === region)
  const hosts = inRegion.length > 0 ? inRegion : serving
  const widest = Math.max(...hosts.map((host) => host.linkMbps))
  const wide = hosts.filter((host) => host.linkMbps >= widest * narrowShare)
  return (wide.length >= minWideHosts ? wide : hosts).map((host) => host.callerAddress)
}
