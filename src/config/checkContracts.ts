import { checkContract } from './checkContract.js'
import type { ConfigIssue } from './ConfigIssue.js'
import { findDuplicates } from './findDuplicates.js'
import { listRows } from './listRows.js'

/** Checks a list of contracts: each one, no customer twice, no credential at two customers. */
export function checkContracts (value: unknown): ConfigIssue[] {
  if (!Array.isArray(value)) return checkContract(value)
  // The rows stand under a made-up key that is taken off their paths again.
  const rows = listRows({ list: value }, 'list').map((row) => ({ ...row, keys: row.keys.slice(1) }))
  const customers = rows.map(({ keys, fields }) => ({ keys: [...keys, 'customer'], value: fields.customer }))
  const credentials = rows.flatMap(({ keys, fields }) => {
    const hashes: unknown[] = Array.isArray(fields.credentialHashes) ? fields.credentialHashes : []
    return [...new Set(hashes)].map((value) => ({ keys: [...keys, 'credentialHashes'], value }))
  })
  return [
    ...rows.flatMap(({ keys, fields }) => checkContract(fields, keys)),
    ...findDuplicates('customer', customers),
    ...findDuplicates('credential', credentials)
  ]
}
