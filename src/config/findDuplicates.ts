import type { ConfigIssue } from './ConfigIssue.js'
import { formatKeyPath } from './formatKeyPath.js'

/** A value that must be unique, and where it stands. */
interface UniqueValue {
  readonly keys: readonly (string | number)[]
  /** Only strings and numbers are compared; other types are reported by the schema. */
  readonly value: unknown
}

/** Reports each place whose value stands at an earlier place too, once; `what` names the value in the message. */
export function findDuplicates (what: string, values: readonly UniqueValue[]): ConfigIssue[] {
  const first = new Map<string, string>()
  const issues = new Map<string, ConfigIssue>()
  for (const { keys, value } of values) {
    if (typeof value !== 'string' && typeof value !== 'number') continue
    const place = formatKeyPath(keys)
    const earlier = first.get(String(value))
    if (earlier === undefined) first.set(String(value), place)
    else if (!issues.has(place)) issues.set(place, { keys, message: `${what} "${value}" is already used at ${earlier}` })
  }
  return [...issues.values()]
}
