import type { ClaimKey } from './ClaimKey.js'
import { claimLimits } from './claimLimits.js'

const printable = /^[\x20-\x7e]+$/
const boundForm = /^([^.]+)\.(\d{1,16})\../

/**
 * Parses an idempotency key; returns undefined unless it has 1 to 200 printable ASCII characters. A key is bound
 * when it starts with the name of a host in `hosts` and an incarnation.
 */
export function parseClaimKey (customer: string, key: string, hosts: ReadonlySet<string>): ClaimKey | undefined {
  if (key.length > claimLimits.maxKeyLength || !printable.test(key)) return undefined
  const id = `${customer.length}:${customer}${key}`
  const match = boundForm.exec(key)
  const host = match?.[1]
  if (host === undefined || !hosts.has(host)) return { id }
  return { id, bound: { host, incarnation: Number(match?.[2]) } }
}
