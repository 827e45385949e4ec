import type { ConfigIssue } from './ConfigIssue.js'
import { findNearestName } from './findNearestName.js'

/** Reports `value` when it is a string that is not a known name; `kind` names what it refers to in the message. */
export function findUnknownReference (kind: string, keys: readonly (string | number)[], value: unknown, known: ReadonlySet<string>): ConfigIssue[] {
  if (typeof value !== 'string' || known.has(value)) return []
  const nearest = findNearestName(value, [...known])
  const hint = nearest === undefined ? '' : `; did you mean "${nearest}"?`
  return [{ keys, message: `${kind} "${value}" does not exist${hint}` }]
}
