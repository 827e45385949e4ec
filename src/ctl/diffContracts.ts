import type { Contract } from '../model/Contract.js'

const comparedFields = ['services', 'rate', 'burst', 'concurrency', 'uploadBytesPerSecond', 'regionShare', 'moveStep', 'priority', 'credentialHashes'] as const

/** Returns the fields that differ as `field: old -> new`, with hashes shortened; ignores the version. */
export function diffContracts (current: Contract, next: Contract): string[] {
  return comparedFields
    .filter((field) => JSON.stringify(current[field]) !== JSON.stringify(next[field]))
    .map((field) => `${field}: ${formatValue(current[field])} -> ${formatValue(next[field])}`)
}

function formatValue (value: number | readonly string[]): string {
  return typeof value === 'number' ? String(value) : value.map((item) => item.length > 20 ? `${item.slice(0, 8)}...` : item).join(',')
}
