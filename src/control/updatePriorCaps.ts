import type { ConfigDoc } from '../model/ConfigDoc.js'
import type { Contract } from '../model/Contract.js'
import type { PriorCap } from '../model/PriorCap.js'
import type { HostReachability } from './HostReachability.js'

// Without this limit, the list would grow with every change while a host is unreachable, for example for a day.
const maxPerCustomer = 4

/** Adds the replaced caps to the document's prior caps and removes those that no host can still use. */
export function updatePriorCaps (base: ConfigDoc, replaced: readonly Contract[], reachability: readonly HostReachability[]): PriorCap[] {
  const appliedVersions = new Map(reachability.map(({ host, appliedVersion }) => [host, appliedVersion]))
  const kept = base.priorCaps.filter(({ hosts, untilVersion }) => hosts.some((host) => (appliedVersions.get(host) ?? 0) < untilVersion))
  const hosts = base.hosts.map(({ name }) => name)
  const added = replaced.map(({ customer, rate, burst, concurrency, uploadBytesPerSecond }) =>
    ({ customer, untilVersion: base.version + 1, rate, burst, concurrency, uploadBytesPerSecond, hosts }))
  const customers = new Set(added.map(({ customer }) => customer))
  const others = kept.filter(({ customer }) => !customers.has(customer))
  return [...others, ...[...customers].flatMap((customer) => limitRows([...kept, ...added].filter((prior) => prior.customer === customer)))]
}

/**
 * Merges the oldest neighbouring rows with the same hosts while there are too many.
 * This is safe, since the merged row permits at least as much as each of them.
 */
function limitRows (rows: readonly PriorCap[]): PriorCap[] {
  const sorted = rows.toSorted((a, b) => a.untilVersion - b.untilVersion)
  while (sorted.length > maxPerCustomer) {
    const index = sorted.findIndex((row, i) => sorted[i + 1] !== undefined && hasSameHosts(row, sorted[i + 1]!))
    if (index < 0) break
    sorted.splice(index, 2, mergeRows(sorted[index]!, sorted[index + 1]!))
  }
  return sorted
}

function hasSameHosts (a: PriorCap, b: PriorCap): boolean {
  return a.hosts.length === b.hosts.length && a.hosts.every((host, i) => host === b.hosts[i])
}

function mergeRows (older: PriorCap, newer: PriorCap): PriorCap {
  return {
    ...newer,
    rate: Math.max(older.rate, newer.rate),
    burst: Math.max(older.burst, newer.burst),
    concurrency: Math.max(older.concurrency, newer.concurrency),
    uploadBytesPerSecond: Math.max(older.uploadBytesPerSecond, newer.uploadBytesPerSecond)
  }
}
