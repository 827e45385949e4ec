import { checkContract } from './checkContract.js'
import type { ConfigIssue } from './ConfigIssue.js'
import { findDuplicates } from './findDuplicates.js'
import { listRows } from './listRows.js'

/** Checks each contract of a list, and that no two contracts share a customer or a credential. */
export function checkContracts (value: unknown): ConfigIssue[] {
  if (!Array.isArray(value)) return checkContract(value)
  // `listRows` needs a parent key, so the list is wrapped in an object and the key is removed from the paths.
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
