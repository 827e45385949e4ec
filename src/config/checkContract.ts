import type { ConfigIssue } from './ConfigIssue.js'
import { findDuplicates } from './findDuplicates.js'

/** Checks a contract, which may be invalid, for duplicate services and credentials; `keys` is its key path in the document. */
export function checkContract (value: unknown, keys: readonly (string | number)[] = []): ConfigIssue[] {
  if (typeof value !== 'object' || value === null) return []
  return [...findListDuplicates(value, 'services', 'service', keys), ...findListDuplicates(value, 'credentialHashes', 'credential', keys)]
}

function findListDuplicates (value: object, key: string, kind: string, keys: readonly (string | number)[]): ConfigIssue[] {
  const list: unknown = (value as Record<string, unknown>)[key]
  if (!Array.isArray(list)) return []
  return findDuplicates(kind, list.map((item: unknown, index) => ({ keys: [...keys, key, index], value: item })))
}
