import type { ConfigIssue } from './ConfigIssue.js'
import { formatKeyPath } from './formatKeyPath.js'

/** A value that must be unique, with its key path. */
interface UniqueValue {
  readonly keys: readonly (string | number)[]
  /** Only strings and numbers are compared; other types are reported by the schema. */
  readonly value: unknown
}

/** Reports each key path whose value already occurred at an earlier one; `kind` names the value in the message. */
export function findDuplicates (kind: string, values: readonly UniqueValue[]): ConfigIssue[] {
  const firstPaths = new Map<string, string>()
  const issues = new Map<string, ConfigIssue>()
  for (const { keys, value } of values) {
    if (typeof value !== 'string' && typeof value !== 'number') continue
    const path = formatKeyPath(keys)
    const firstPath = firstPaths.get(String(value))
    if (firstPath === undefined) firstPaths.set(String(value), path)
    else if (!issues.has(path)) issues.set(path, { keys, message: `${kind} "${value}" is already used at ${firstPath}` })
  }
  return [...issues.values()]
}
