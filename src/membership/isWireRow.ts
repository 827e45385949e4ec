import type { WireRow } from './WireRow.js'

const rowLength = 6

/**
 * Checks the outer shape of a row from another agent. The agent of the digest's host has validated the digest with
 * `digestSchema`, so other hosts do not repeat the cost of checking its inner fields.
 */
export function isWireRow (value: unknown): value is WireRow {
  if (!Array.isArray(value) || value.length < rowLength || value.length > rowLength + 1) return false
  const [host, zone, incarnation, seq, state, configVersion, report] = value as unknown[]
  const hasNumbers = [incarnation, seq, state, configVersion].every((field) => typeof field === 'number' && field >= 0)
  return typeof host === 'string' && typeof zone === 'string' && hasNumbers && (report === undefined || isReport(report))
}

function isReport (value: unknown): boolean {
  if (!isRecord(value) || typeof value.incarnation !== 'number' || typeof value.no !== 'number') return false
  if (value.uses !== undefined && !(value.uses instanceof Uint8Array)) return false
  return (value.digest === undefined || isDigest(value.digest)) && (value.listing === undefined || isListing(value.listing))
}

function isDigest (value: unknown): boolean {
  return isRecord(value) && typeof value.host === 'string' && typeof value.appliedVersion === 'number' && typeof value.serving === 'boolean' &&
    Array.isArray(value.loads) && Array.isArray(value.uses) && Array.isArray(value.leavingEndpoints) && isRecord(value.drainInFlight)
}

function isListing (value: unknown): boolean {
  return isRecord(value) && Array.isArray(value.endpoints) && Array.isArray(value.hosts)
}

function isRecord (value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null
}
